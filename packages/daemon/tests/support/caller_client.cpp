#include "caller_client.hpp"

#include "http/raw_client.hpp"

#include <nlohmann/json.hpp>

#include <optional>

namespace papayafall {

namespace {

std::string encode(const caller_request_text& wanted)
{
    std::string text = wanted.method + " " + wanted.path +
                       " HTTP/1.1\r\nHost: test\r\n"
                       "Papayafall-Team: desk\r\n";
    if (!wanted.key.empty()) {
        text += "Idempotency-Key: " + wanted.key + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(wanted.body.size()) + "\r\n\r\n" +
           wanted.body;
}

std::string member(const nlohmann::json& problem, const std::string& name)
{
    return problem.is_object() ? problem.value(name, "") : "";
}

caller_answer decode(const std::string& text)
{
    const std::size_t status_at = std::string("HTTP/1.1 ").size();
    const std::size_t header = text.find("\r\n\r\n");
    if (header == std::string::npos || !text.starts_with("HTTP/1.1 ")) {
        return {};
    }
    caller_answer got{.status = std::stoi(text.substr(status_at, 3)),
                      .body = text.substr(header + 4)};
    if (got.status == 200) {
        return got;
    }
    const std::string prefix = "urn:papayafall:error:";
    const nlohmann::json problem = nlohmann::json::parse(got.body, nullptr, false);
    got.run = member(problem, "run");
    got.type = member(problem, "type");
    got.type.erase(0, got.type.starts_with(prefix) ? prefix.size() : 0);
    return got;
}

} // namespace

caller_answer call_host(std::uint16_t port, const caller_request_text& wanted)
{
    std::optional<test::raw_client> client;
    try {
        client.emplace(port);
    } catch (const std::runtime_error&) {
        return {};
    }
    return client->send(encode(wanted)) ? decode(client->read_response()) : caller_answer{};
}

caller_request_text make_task(const std::string& service, const std::string& id, int run_ms,
                              const std::string& key)
{
    return {.path = "/v1/services/" + service + "/requests",
            .body = nlohmann::json{{"id", id}, {"run_ms", run_ms}}.dump(),
            .key = key};
}

std::vector<std::string> fetch_tickets(std::uint16_t port, std::size_t count)
{
    const std::string body = nlohmann::json{{"count", count}}.dump();
    const caller_answer got = call_host(port, {.path = "/v1/tickets", .body = body});
    return nlohmann::json::parse(got.body).at("tickets").get<std::vector<std::string>>();
}

} // namespace papayafall
