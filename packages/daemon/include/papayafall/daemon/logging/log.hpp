#pragma once

#include "papayafall/wire/settings/settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace papayafall {

/// A named field of a structured log record.
struct log_field {
    std::string name;
    std::string value;

    log_field(std::string key, std::string text) : name(std::move(key)), value(std::move(text)) {}

    log_field(std::string key, std::uint64_t number)
        : name(std::move(key)), value(std::to_string(number))
    {
    }
};

/// Directs log records to a file, to standard output (`-`) or, without a file name, to standard
/// error, as one JSON object per line. Records for standard output are written asynchronously. When
/// their buffer is full they are dropped and counted, so that no thread blocks on a slow reader.
/// @throws configuration_error when the file cannot be opened
void open_log(const log_settings& wanted);

/// Writes a log record. Thread-safe.
/// @param message constant text; variable data belongs in `fields`
void write_log(log_level level, std::string_view message,
               std::initializer_list<log_field> fields = {});

/// Overload for fields that are assembled at run time.
void write_log(log_level level, std::string_view message, const std::vector<log_field>& fields);

} // namespace papayafall
