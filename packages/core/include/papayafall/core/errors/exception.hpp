#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <stdexcept>
#include <string>

namespace papayafall {

/// Base class of all exceptions of the project. `what()` returns
/// "[papayafall.<name>.<number>] <message>".
class exception : public std::runtime_error {
  public:
    exception(error_id id, const std::string& message);

    error_id id() const noexcept { return id_; }

  private:
    error_id id_;
};

/// A request is invalid.
class request_error : public exception {
  public:
    using exception::exception;
};

/// The settings or the operators' configuration are invalid.
class configuration_error : public exception {
  public:
    configuration_error(error_id id, std::string path, const std::string& message);

    /// JSON pointer to the invalid value.
    const std::string& path() const noexcept { return path_; }

  private:
    std::string path_;
};

/// A peer message is malformed, too large, not authentic or of an unsupported version.
class message_error : public exception {
  public:
    using exception::exception;
};

/// A request to the platform failed or conflicted with its state.
class platform_error : public exception {
  public:
    using exception::exception;
};

/// An invariant of the program is violated; the process must stop.
class invariant_error : public exception {
  public:
    explicit invariant_error(const std::string& message);
};

/// A blackboard section was claimed by a second writer.
class ownership_error : public exception {
  public:
    explicit ownership_error(const std::string& message);
};

/// Checks an invariant.
/// @param message  describes the invariant
/// @throws invariant_error with `message` if `condition` is false
void ensure(bool condition, const char* message);

} // namespace papayafall
