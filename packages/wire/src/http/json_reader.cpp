#include "papayafall/wire/http/json_reader.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <set>
#include <string>
#include <vector>

namespace papayafall {

namespace {

using nlohmann::json;

[[noreturn]] void reject(const std::string& reason)
{
    throw request_error(error_id::malformed_request, "JSON: " + reason);
}

/// Checks nesting depth and duplicate keys of a document while it is parsed.
class structure_checker {
  public:
    void on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            open_container();
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_container_keys_.pop_back();
            break;
        case json::parse_event_t::key:
            add_key(parsed.get_ref<const std::string&>());
            break;
        case json::parse_event_t::value:
            break;
        }
    }

  private:
    void open_container()
    {
        if (open_container_keys_.size() == max_json_depth) {
            reject("nesting is too deep");
        }
        open_container_keys_.emplace_back();
    }

    void add_key(const std::string& key)
    {
        if (!open_container_keys_.back().insert(key).second) {
            reject("duplicate key in an object");
        }
    }

    std::vector<std::set<std::string>> open_container_keys_; ///< keys of each open array or object
};

} // namespace

nlohmann::json parse_caller_json(std::string_view text)
{
    structure_checker check;
    const auto callback = [&check](int, json::parse_event_t event, json& parsed) {
        check.on_event(event, parsed);
        return true;
    };
    try {
        return json::parse(text, callback);
    } catch (const json::exception& ex) {
        reject("invalid document (error " + std::to_string(ex.id) + ")");
    }
}

bool nests_too_deep(std::string_view text) noexcept
{
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char it : text) {
        if (in_string) {
            in_string = escaped || it != '"';
            escaped = !escaped && it == '\\';
            continue;
        }
        if (it == '[' || it == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if (it == ']' || it == '}') {
            depth -= depth > 0 ? 1 : 0;
        } else if (it == '"') {
            in_string = true;
        }
    }
    return false;
}

nlohmann::json parse_foreign_json(std::string_view text)
{
    return nests_too_deep(text) ? json(json::value_t::discarded)
                                : json::parse(text, nullptr, false);
}

} // namespace papayafall
