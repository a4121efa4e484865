#pragma once

#include "papayafall/wire/settings/settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall {

/// One named field of a log record.
struct log_field {
    std::string name;
    std::string value;

    log_field(std::string key, std::string text) : name(std::move(key)), value(std::move(text)) {}

    log_field(std::string key, std::uint64_t number)
        : name(std::move(key)), value(std::to_string(number))
    {
    }
};

/// Directs log records to the file, to standard output (`-`) or to standard error, one JSON object
/// a line. Records for standard output are written by a thread of their own; when its buffer is
/// full they are dropped and counted, so that no thread waits for a slow reader.
/// @throws configuration_error when the file cannot be opened
void open_log(const log_settings& wanted);

/// Writes a record; `message` is a constant text, everything variable goes into fields.
/// Callable from any thread.
void write_log(log_level level, std::string_view message,
               std::initializer_list<log_field> fields = {});

/// As above, for fields that are put together at run time.
void write_log(log_level level, std::string_view message, const std::vector<log_field>& fields);

} // namespace papayafall
