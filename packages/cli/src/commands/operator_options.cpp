#include "papayafall/cli/commands/operator_options.hpp"

#include <QUrl>

namespace papayafall {

namespace {

constexpr int default_platform_port = 8500;

http_platform_options parse_platform(const operator_options& options)
{
    const QUrl url(QString::fromStdString(options.platform_url), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != "http" || url.host().isEmpty()) {
        throw configuration_error(error_id::invalid_settings, "/platform",
                                  "expected a URL of the form http://127.0.0.1:8500");
    }
    return {.address = {url.host().toStdString(),
                        static_cast<std::uint16_t>(url.port(default_platform_port))},
            .token = read_platform_token(options.token_file, "--token-file")};
}

} // namespace

void operator_options::attach(CLI::App& app)
{
    app.add_option("--platform", platform_url, "URL of the platform's key-value service")
        ->envname("PAPAYAFALL_PLATFORM")
        ->capture_default_str();
    app.add_option("--token-file", token_file,
                   "file with your token for the key-value service in its first line")
        ->envname("PAPAYAFALL_TOKEN_FILE");
    app.add_option("--operator", operator_argument, "your name, for the audit trail")
        ->envname("PAPAYAFALL_OPERATOR");
    app.add_option("--output", output_format, "output format")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
}

operator_name operator_options::require_operator_name() const
{
    if (operator_argument.empty()) {
        throw configuration_error(
            error_id::invalid_settings, "/operator",
            "operator name missing; the audit trail requires --operator NAME");
    }
    return operator_name(operator_argument);
}

operator_connection::operator_connection(const operator_options& options)
    : store_(parse_platform(options), clock_), changes_(store_, clock_)
{
}

} // namespace papayafall
