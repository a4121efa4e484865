#include "papayafall/wire/configuration/json_reader.hpp"

#include "papayafall/wire/http/json_reader.hpp"

namespace papayafall {

namespace {

/// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escape(const std::string& key)
{
    std::string out;
    for (const char it : key) {
        if (it == '~') {
            out += "~0";
            continue;
        }
        if (it == '/') {
            out += "~1";
            continue;
        }
        out += it;
    }
    return out;
}

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    nlohmann::json document = parse_foreign_json(text);
    if (document.is_discarded()) {
        throw configuration_error(error_id::invalid_configuration, "", "text is not valid JSON");
    }
    return document;
}

json_reader::json_reader(const nlohmann::json& node, std::string path)
    : node_(&node), path_(std::move(path))
{
    if (!node.is_object()) {
        throw configuration_error(error_id::invalid_configuration, path_, "must be an object");
    }
}

bool json_reader::has(const std::string& key) const
{
    const auto it = node_->find(key);
    return it != node_->end() && !it->is_null();
}

const nlohmann::json* json_reader::child(const std::string& key)
{
    known_keys_.insert(key);
    return has(key) ? &*node_->find(key) : nullptr;
}

json_reader json_reader::object(const std::string& key)
{
    const nlohmann::json* it = child(key);
    if (it == nullptr) {
        fail(key, "required value is missing");
    }
    return {*it, child_path(key)};
}

std::string json_reader::text(const std::string& key)
{
    const auto found = optional_text(key);
    if (!found) {
        fail(key, "required value is missing");
    }
    return *found;
}

std::optional<std::string> json_reader::optional_text(const std::string& key)
{
    const nlohmann::json* it = child(key);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_string()) {
        fail(key, "must be a string");
    }
    return it->get<std::string>();
}

bool json_reader::boolean(const std::string& key, bool fallback)
{
    const nlohmann::json* it = child(key);
    if (it == nullptr) {
        return fallback;
    }
    if (!it->is_boolean()) {
        fail(key, "must be true or false");
    }
    return it->get<bool>();
}

std::uint64_t json_reader::number(const std::string& key, std::uint64_t min, std::uint64_t max)
{
    const auto found = optional_number(key, min, max);
    if (!found) {
        fail(key, "required value is missing");
    }
    return *found;
}

std::optional<std::uint64_t> json_reader::optional_number(const std::string& key, std::uint64_t min,
                                                          std::uint64_t max)
{
    const nlohmann::json* it = child(key);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_number_unsigned()) {
        fail(key, "must be a non-negative integer");
    }
    const auto n = it->get<std::uint64_t>();
    if (n < min || n > max) {
        fail(key, "must be in the range " + std::to_string(min) + " to " + std::to_string(max));
    }
    return n;
}

std::optional<double> json_reader::optional_decimal(const std::string& key, double min, double max)
{
    const nlohmann::json* it = child(key);
    if (it == nullptr) {
        return std::nullopt;
    }
    if (!it->is_number()) {
        fail(key, "must be a number");
    }
    const auto n = it->get<double>();
    if (!(n >= min && n <= max)) {
        fail(key, "must be in the range " + std::to_string(min) + " to " + std::to_string(max));
    }
    return n;
}

std::string json_reader::child_path(const std::string& key) const
{
    return path_ + "/" + escape(key);
}

const nlohmann::json& json_reader::entries()
{
    for (const auto& it : node_->items()) {
        known_keys_.insert(it.key());
    }
    return *node_;
}

void json_reader::reject_unknown_keys() const
{
    for (const auto& it : node_->items()) {
        if (!known_keys_.contains(it.key())) {
            fail(it.key(), "unknown key");
        }
    }
}

void json_reader::fail(const std::string& key, const std::string& message) const
{
    throw configuration_error(error_id::invalid_configuration, child_path(key), message);
}

} // namespace papayafall
