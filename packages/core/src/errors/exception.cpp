#include "papayafall/core/errors/exception.hpp"

#include <utility>

namespace papayafall {

namespace {

std::string format_message(error_id id, const std::string& message)
{
    return "[papayafall." + std::string(to_string(id)) + "." +
           std::to_string(static_cast<unsigned>(id)) + "] " + message;
}

} // namespace

exception::exception(error_id id, const std::string& message)
    : std::runtime_error(format_message(id, message)), id_(id)
{
}

configuration_error::configuration_error(error_id id, std::string path, const std::string& message)
    : exception(id, "at '" + path + "': " + message), path_(std::move(path))
{
}

invariant_error::invariant_error(const std::string& message)
    : exception(error_id::invariant_violated, message)
{
}

ownership_error::ownership_error(const std::string& message)
    : exception(error_id::section_ownership, message)
{
}

void ensure(bool condition, const char* message)
{
    if (!condition) {
        throw invariant_error(message);
    }
}

} // namespace papayafall
