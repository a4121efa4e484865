#include "papayafall/platform/http/http_reader.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <type_traits>

namespace papayafall {

namespace {

namespace beast = boost::beast;

template <typename Message>
inline constexpr bool is_request = std::is_same_v<Message, http_request_message>;

error_id error_of(const beast::error_code& ec)
{
    const bool too_large =
        ec == beast::http::error::body_limit || ec == beast::http::error::header_limit;
    return too_large ? error_id::message_too_large : error_id::malformed_message;
}

/// The parser reports a stated length over the limit only if no byte of the body follows the header
/// in the same call.
template <typename Parser>
void check_length(const Parser& it, std::size_t limit)
{
    if (it.need_eof()) {
        throw message_error(error_id::malformed_message,
                            "the message does not state its length, so truncation would not show");
    }
    if (const auto length = it.content_length(); length && *length > limit) {
        throw message_error(error_id::message_too_large,
                            "the body of " + std::to_string(*length) + " bytes exceeds the limit");
    }
}

template <typename Parsed>
header_fields headers_of(const Parsed& parsed)
{
    header_fields headers;
    for (const auto& it : parsed) {
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    return headers;
}

} // namespace

template <typename Message>
struct http_reader<Message>::parser {
    explicit parser(const http_limits& limits)
    {
        beast_parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        beast_parser.body_limit(limits.body_bytes);
        beast_parser.eager(true);
    }

    beast::http::parser<is_request<Message>, beast::http::string_body> beast_parser;
};

template <typename Message>
http_reader<Message>::http_reader(const http_limits& limits)
    : limits_(limits), parser_(std::make_unique<parser>(limits))
{
}

template <typename Message>
http_reader<Message>::~http_reader() = default;

template <typename Message>
std::optional<Message> http_reader<Message>::next()
{
    auto& it = parser_->beast_parser;
    while (!unparsed_.empty() && !it.is_done()) {
        beast::error_code ec;
        const std::size_t n =
            it.put(boost::asio::const_buffer(unparsed_.data(), unparsed_.size()), ec);
        unparsed_.erase(0, n);
        has_partial_message_ = has_partial_message_ || n > 0;
        if (ec == beast::http::error::need_more) {
            break;
        }
        if (ec) {
            throw message_error(error_of(ec), ec.message());
        }
    }
    if (it.is_header_done()) {
        check_length(it, limits_.body_bytes);
    }
    if (!it.is_done()) {
        return std::nullopt;
    }
    Message message;
    auto& parsed = it.get();
    if constexpr (is_request<Message>) {
        message.method = std::string(parsed.method_string());
        message.target = std::string(parsed.target());
    } else {
        message.status = static_cast<std::uint16_t>(parsed.result_int());
    }
    message.headers = headers_of(parsed);
    message.keep_alive = parsed.keep_alive();
    message.body = std::move(parsed.body());
    parser_ = std::make_unique<parser>(limits_);
    has_partial_message_ = false;
    return message;
}

template class http_reader<http_request_message>;
template class http_reader<http_reply_message>;

} // namespace papayafall
