// The peers block: refused whole, with the field and the reason.
#include <stdexcept>

#include "front/charter.hpp"

namespace dunlinwick::front {

using json::Kind;
using json::Value;

PeersTerms ReadPeers(const Value& p) {
  PeersTerms t;
  t.on = true;
  auto fault = [](const std::string& where, const std::string& why) {
    return std::runtime_error("peers." + where + ": " + why);
  };
  auto id = [&](const Value& in, const std::string& where, const char* name) {
    const Value* v = in.Find(name, Kind::kNumber);
    double n = v ? v->AsNumber() : 0;
    if (!(n >= 1 && n <= 1e9) || n != static_cast<double>(static_cast<long long>(n)))
      throw fault(where + name, "a whole number from 1 to 1000000000 wanted");
    return static_cast<std::uint32_t>(n);
  };
  t.self = id(p, "", "self");
  auto listen = loop::ReadAddress(p.GetString("listen"));
  if (!listen)
    throw fault("listen", "an address such as 127.0.0.10:7400 wanted");
  t.listen = *listen;
  const Value* members = p.Find("members", Kind::kArray);
  constexpr std::size_t kMost = peers::Terms{}.most_peers;
  if (!members || members->items.empty() || members->items.size() > kMost)
    throw fault("members", "1 to " + std::to_string(kMost) + " wanted, each with id and at");
  for (std::size_t i = 0; i < members->items.size(); ++i) {
    const Value& m = members->items[i];
    std::string where = "members[" + std::to_string(i) + "].";
    if (m.kind != Kind::kObject)
      throw fault("members[" + std::to_string(i) + "]", "an object with id and at wanted");
    std::uint32_t one = id(m, where, "id");
    auto at = loop::ReadAddress(m.GetString("at"));
    if (!at)
      throw fault(where + "at", "an address such as 127.0.0.10:7400 wanted");
    if (!t.at.emplace(one, *at).second)
      throw fault(where + "id", "given twice");
  }
  if (!t.at.count(t.self))
    throw fault("self", "not among members");
  return t;
}

}  // namespace dunlinwick::front
