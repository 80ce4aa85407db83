#pragma once

#include "oleanderledge/base/ResultCode.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <utility>

namespace oleanderledge {

/// A failed operation: its result code and a human-readable message.
struct Error
{
  ResultCode code = ResultCode::Ok;
  std::string message;
};

/// Value or Error. Accessing the alternative that is not held terminates the process.
template<class T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Builds the failure alternative of a Result.
inline auto Fail(ResultCode aCode, std::string aMessage)
{
  return boost::outcome_v2::failure(Error{ aCode, std::move(aMessage) });
}

} // namespace oleanderledge
