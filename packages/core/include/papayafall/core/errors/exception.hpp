#pragma once

#include "papayafall/core/errors/error_id.hpp"

#include <stdexcept>
#include <string>

namespace papayafall {

/// Base of every exception of the project. `what()` reads "[papayafall.<name>.<number>] <message>".
class exception : public std::runtime_error {
  public:
    exception(error_id id, const std::string& message);

    error_id id() const noexcept { return id_; }

  private:
    error_id id_;
};

/// A request that cannot be accepted as it stands.
class request_error : public exception {
  public:
    using exception::exception;
};

/// Settings or operators' configuration that are not valid; `path()` is a JSON pointer.
class configuration_error : public exception {
  public:
    configuration_error(error_id id, std::string path, const std::string& message);

    const std::string& path() const noexcept { return path_; }

  private:
    std::string path_;
};

/// A peer message that is malformed, too large or not authentic.
class message_error : public exception {
  public:
    using exception::exception;
};

/// The platform's service failed or contradicted a request.
class platform_error : public exception {
  public:
    using exception::exception;
};

/// An invariant of the program does not hold; the process must stop.
class invariant_error : public exception {
  public:
    explicit invariant_error(const std::string& message);
};

/// A blackboard section was claimed by a second writer.
class ownership_error : public exception {
  public:
    explicit ownership_error(const std::string& message);
};

/// Throws `invariant_error` with `message` unless `condition` holds.
void ensure(bool condition, const char* message);

} // namespace papayafall
