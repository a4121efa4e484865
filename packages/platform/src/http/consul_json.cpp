#include "consul_json.hpp"

#include "papayafall/wire/http/json_reader.hpp"

#include <nlohmann/json.hpp>

#include <QByteArray>

namespace papayafall::detail {

namespace {

constexpr int not_found_status = 404;

[[noreturn]] void fail(const char* message)
{
    throw platform_error(error_id::platform_protocol, message);
}

nlohmann::json parse(const platform_http_response& response)
{
    nlohmann::json document = parse_foreign_json(response.body);
    if (document.is_discarded()) {
        fail("the platform's response is not valid JSON");
    }
    return document;
}

std::string decode_base64(const std::string& text)
{
    const auto decoded = QByteArray::fromBase64Encoding(QByteArray::fromStdString(text),
                                                        QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded) {
        fail("a value returned by the platform is not valid base64");
    }
    return decoded.decoded.toStdString();
}

std::string decode_value(const nlohmann::json& entry)
{
    const auto it = entry.find("Value");
    return it == entry.end() || it->is_null() ? "" : decode_base64(it->get<std::string>());
}

stored_value decode_entry(const nlohmann::json& entry)
{
    return {
        .key = entry.at("Key").get<std::string>(),
        .data = decode_value(entry),
        .index = modify_index(entry.at("ModifyIndex").get<std::uint64_t>()),
        .lock_count = entry.value("LockIndex", std::uint64_t{0}),
        .holder = session_id(entry.value("Session", std::string())),
    };
}

std::vector<stored_value> decode_entries(const platform_http_response& response)
{
    const nlohmann::json document = parse(response);
    std::vector<stored_value> out;
    try {
        out.reserve(document.size());
        for (const nlohmann::json& it : document) {
            out.push_back(decode_entry(it));
        }
    } catch (const nlohmann::json::exception&) {
        fail("a key-value entry returned by the platform has missing or mistyped fields");
    }
    return out;
}

} // namespace

bool is_not_found(const platform_http_response& response)
{
    return response.status == not_found_status;
}

read_result decode_read(const platform_http_response& response)
{
    if (is_not_found(response)) {
        return {std::nullopt, response.index};
    }
    std::vector<stored_value> entries = decode_entries(response);
    if (entries.size() != 1) {
        fail("the platform did not return exactly one entry for a single key");
    }
    return {std::move(entries.front()), response.index};
}

std::vector<stored_value> decode_list(const platform_http_response& response)
{
    return is_not_found(response) ? std::vector<stored_value>() : decode_entries(response);
}

modify_index decode_index(const platform_http_response& response)
{
    if (response.index == modify_index()) {
        fail("the platform's response has no X-Consul-Index header");
    }
    return response.index;
}

bool decode_boolean(const platform_http_response& response)
{
    const nlohmann::json document = parse(response);
    if (!document.is_boolean()) {
        fail("the platform's response to a write is not a JSON boolean");
    }
    return document.get<bool>();
}

session_id decode_session(const platform_http_response& response)
{
    const nlohmann::json document = parse(response);
    if (!document.is_object() || !document.contains("ID") || !document["ID"].is_string()) {
        fail("the platform's response to a session request has no ID");
    }
    return session_id(document["ID"].get<std::string>());
}

std::string encode_session(const std::string& name, std::chrono::milliseconds ttl)
{
    const nlohmann::json document{
        {"Name", name},
        {"TTL", std::to_string(ttl.count()) + "ms"},
        {"Behavior", "release"},
        {"LockDelay", "0s"},
    };
    return document.dump();
}

} // namespace papayafall::detail
