#include "papayafall/wire/http/answer_codec.hpp"

#include "papayafall/wire/http/ticket_codec.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace papayafall {

namespace {

using nlohmann::json;

std::string encode_base64(std::string_view data)
{
    using boost::archive::iterators::base64_from_binary;
    using boost::archive::iterators::transform_width;
    using encoder = base64_from_binary<transform_width<const char*, 6, 8>>;
    std::string text(encoder(data.data()), encoder(data.data() + data.size()));
    text.append((3 - data.size() % 3) % 3, '=');
    return text;
}

bool is_json_container(std::string_view data)
{
    const std::size_t n = data.find_first_not_of(" \t\r\n");
    return n != std::string_view::npos && (data[n] == '{' || data[n] == '[') && json::accept(data);
}

/// Returns `data` as a JSON string, or empty if it is not valid UTF-8.
std::optional<std::string> encode_string(std::string_view data)
{
    try {
        return json(data).dump();
    } catch (const json::type_error&) {
        return std::nullopt;
    }
}

void append_body(std::string& text, std::string_view data)
{
    if (is_json_container(data)) {
        text.append(R"("body":)").append(data);
        return;
    }
    if (const auto string = encode_string(data)) {
        text.append(R"("body":)").append(*string);
        return;
    }
    text.append(R"("body_base64":")").append(encode_base64(data)).append("\"");
}

void append_answer(std::string& text, const task_answer& result)
{
    text.append(R"({"status":)").append(std::to_string(result.status)).append(",");
    append_body(text, result.body.view());
    text.append("}");
}

} // namespace

std::string encode_job_answer(const completion& result)
{
    std::string text = R"({"answers":[)";
    bool first = true;
    for (const task_answer& it : result->answers) {
        if (!first) {
            text.append(",");
        }
        first = false;
        append_answer(text, it);
    }
    text.append("]}");
    return text;
}

std::string encode_tickets(const std::vector<ticket>& tickets)
{
    json list = json::array();
    for (const ticket& it : tickets) {
        list.push_back(encode_ticket(it));
    }
    return json{{"tickets", std::move(list)}}.dump();
}

} // namespace papayafall
