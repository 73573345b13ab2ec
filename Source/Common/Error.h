/// \file
/// The error type that functions return through tl::expected.

#ifndef CORIANDERDYKE_COMMON_ERROR_H
#define CORIANDERDYKE_COMMON_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace corianderdyke {

/// What kind of thing went wrong; the text says the rest.
enum class ErrorCode {
  BadInput,    ///< The caller or operator gave something that can't be used.
  Conflict,    ///< It clashes with something accepted before.
  NotFound,    ///< The named thing doesn't exist.
  Unavailable, ///< It may work later.
  Corrupt,     ///< Stored or received bytes fail their check.
  System,      ///< The operating system refused.
};

/// An error with a sentence for a person.
struct Error {
  ErrorCode Code = ErrorCode::System;
  std::string Message;

  bool operator==(const Error &) const = default;
};

template <class T> using Expected = tl::expected<T, Error>;

/// Makes the error side of an Expected.
inline tl::unexpected<Error> fail(ErrorCode Code, std::string Message) {
  return tl::unexpected<Error>(Error{Code, std::move(Message)});
}

} // namespace corianderdyke

#endif
