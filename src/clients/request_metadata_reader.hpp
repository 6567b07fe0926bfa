/// Reads the metadata of a client's request out of an HTTP request: its class, object, deadline and
/// the rest. Pure functions of the request's bytes.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "clients/http.hpp"
#include "exchange/exchange.hpp"

namespace dunlinwick::clients {

/// The request classes that clients may name, in the order of the settings.
struct RequestClasses {
  std::vector<std::string> names;
  std::vector<bool> writes;  ///< by class: its requests are PUT and have a body
};

/// Fills `metadata` from `request`. Returns 0, or the HTTP status with which the request is
/// rejected; `metadata` is then unusable.
[[nodiscard]] int ReadRequestMetadata(const Request& request, const RequestClasses& classes,
                                      exchange::RequestMetadata& metadata);

/// How long the client waits for the complete response, in milliseconds from when it sent the
/// request. Nothing where the header is absent or malformed.
std::optional<loop::Ms> ReadTimeout(const Request& request);

}  // namespace dunlinwick::clients
