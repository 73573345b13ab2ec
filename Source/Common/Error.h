/// \file
/// The error type that functions return through tl::expected.

#ifndef CORIANDERDYKE_COMMON_ERROR_H
#define CORIANDERDYKE_COMMON_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace corianderdyke {

/// The kind of an error; the message has the details.
enum class ErrorCode {
  BadInput,    ///< The input of the caller or operator is invalid.
  Conflict,    ///< The input conflicts with something accepted before.
  NotFound,    ///< The named object does not exist.
  Unavailable, ///< A later attempt may succeed.
  Corrupt,     ///< Stored or received bytes are invalid.
  System,      ///< A system call failed.
};

/// An error with a message for people.
struct Error {
  ErrorCode Code = ErrorCode::System;
  std::string Message;

  bool operator==(const Error &) const = default;
};

template <class T> using Expected = tl::expected<T, Error>;

/// Returns the error value of an Expected.
inline tl::unexpected<Error> fail(ErrorCode Code, std::string Message) {
  return tl::unexpected<Error>(Error{Code, std::move(Message)});
}

} // namespace corianderdyke

#endif
