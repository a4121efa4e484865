#include "papayafall/daemon/logging/log.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <list>
#include <memory>

namespace papayafall {

namespace {

/// File name in the settings that selects standard output.
constexpr const char* standard_output = "-";
/// Limit on the records buffered for standard output; further ones are dropped.
constexpr int max_buffered_records = 2048;

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("papayafall");
    return instance;
}

log4cxx::LevelPtr to_log4cxx_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::AppenderPtr make_appender(const log_settings& wanted)
{
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::JSONLayout>();
    if (wanted.file == standard_output) {
        const auto buffered = std::make_shared<log4cxx::AsyncAppender>();
        buffered->setBlocking(false);
        buffered->setBufferSize(max_buffered_records);
        buffered->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut()));
        return buffered;
    }
    if (wanted.file.empty()) {
        return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                          log4cxx::ConsoleAppender::getSystemErr());
    }
    return std::make_shared<log4cxx::FileAppender>(layout, wanted.file, true);
}

} // namespace

void open_log(const log_settings& wanted)
{
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(make_appender(wanted));
    root->setLevel(to_log4cxx_level(wanted.level));
}

namespace {

template <typename Fields>
void write_record(log_level level, std::string_view message, const Fields& fields)
{
    const log4cxx::LoggerPtr papayafall_logger = logger();
    const log4cxx::LevelPtr log4cxx_level = to_log4cxx_level(level);
    if (!papayafall_logger->isEnabledFor(log4cxx_level)) {
        return;
    }
    std::list<log4cxx::MDC> context;
    for (const log_field& it : fields) {
        context.emplace_back(it.name, it.value);
    }
    papayafall_logger->forcedLog(log4cxx_level, std::string(message));
}

} // namespace

void write_log(log_level level, std::string_view message, std::initializer_list<log_field> fields)
{
    write_record(level, message, fields);
}

void write_log(log_level level, std::string_view message, const std::vector<log_field>& fields)
{
    write_record(level, message, fields);
}

} // namespace papayafall
