// What a harness sees of its processes: answers of the fronts, and the history that the checker
// judges, read from their logs.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "rig/harness.hpp"

namespace dunlinwick::fleet {

History Harness::history() {
  History h;
  h.from = begun_;
  h.until = loop_.now();
  h.cues = cues_;
  h.requests = requests_;
  auto bit = [&](const std::string& zone) {
    auto at = std::find(fleet_.zones.begin(), fleet_.zones.end(), zone);
    return at == fleet_.zones.end() ? 0 : std::uint64_t{1} << (at - fleet_.zones.begin());
  };
  for (std::size_t i = 0; i < pids_.size(); ++i) {
    std::ifstream log(programs_.folder + "/front-" + std::to_string(i) + ".log");
    for (std::string line; std::getline(log, line);) {
      unsigned epoch = 0;
      char out[512];
      std::size_t at = line.rfind(" at ");
      if (at == std::string::npos ||
          std::sscanf(line.c_str(), "fleet verdict epoch %u out %511s", &epoch, out) != 2)
        continue;
      VerdictSeen v;
      v.at = std::atof(line.c_str() + at + 4);
      v.front = i;
      v.epoch = epoch;
      std::string zones = out;
      for (std::size_t from = 0; from <= zones.size();) {
        std::size_t comma = std::min(zones.find(',', from), zones.size());
        v.out |= bit(zones.substr(from, comma - from));
        from = comma + 1;
      }
      h.verdicts.push_back(v);
    }
    if (Up(i))
      if (auto v = view(i))
        h.epochs_at_end.emplace_back(i,
                                     static_cast<std::uint32_t>(v->GetNumber("epoch").value_or(0)));
  }
  std::stable_sort(h.verdicts.begin(), h.verdicts.end(),
                   [](const VerdictSeen& a, const VerdictSeen& b) { return a.at < b.at; });
  std::set<std::string> exclusive;
  for (const RequestSeen& p : requests_)
    if (p.exclusive)
      exclusive.insert(p.id);
  std::vector<std::string> toys{"hub"};
  for (const std::string& z : fleet_.zones)
    toys.push_back("zone-" + z);
  for (const std::string& toy : toys) {
    std::ifstream log(programs_.folder + "/" + toy + ".out");
    for (std::string line; std::getline(log, line);)
      if (line.starts_with("want ") && exclusive.count(line.substr(5, 16)))
        ++h.ran[line.substr(5, 16)];
  }
  return h;
}

std::optional<json::Value> AskView(loop::Loop& loop, loop::Descriptor& response_sink,
                                   const loop::Address& front, std::string* raw,
                                   const char* question) {
  loop.environment().SendTo(response_sink.Get(), std::string_view(question), front);
  constexpr double kWithin = 300;
  double end = loop.now() + kWithin;
  std::vector<char> buffer(65536);
  while (loop.now() < end) {
    loop::Address from{};
    ssize_t got = loop.environment().ReceiveFrom(response_sink.Get(), buffer, from);
    if (got > 0 && from.sin_addr.s_addr == front.sin_addr.s_addr &&
        from.sin_port == front.sin_port) {
      auto v = json::Parse(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
      if (v && v->kind == json::Kind::kObject) {
        if (raw)
          raw->assign(buffer.data(), static_cast<std::size_t>(got));
        return v;
      }
    }
    loop.RunOnce(5);  // the relay goes on meanwhile
  }
  return std::nullopt;
}

std::optional<json::Value> Harness::view(std::size_t i) {
  return AskView(loop_, response_sink_, at(i, fleet_.port));
}

std::optional<json::Value> Harness::OwnerStatus(std::size_t i) {
  return AskView(loop_, response_sink_, OwnerAt(i), nullptr, "DO?");
}

std::optional<json::Value> Harness::LayerStatus(std::size_t i) {
  return AskView(loop_, response_sink_, at(i, fleet_.port), nullptr, "DR?");
}

std::optional<std::string> Harness::operatorAsks(std::size_t i, const std::string& datagram,
                                                 double within) {
  loop::Address to = at(i, fleet_.port);
  loop_.environment().SendTo(response_sink_.Get(), datagram, to);
  std::vector<char> buffer(65536);
  for (double end = loop_.now() + within; loop_.now() < end;) {
    loop::Address from{};
    ssize_t got = loop_.environment().ReceiveFrom(response_sink_.Get(), buffer, from);
    bool view =
        got > 0 && buffer[0] == '{';  // of a status that was asked for before and comes late
    if (got > 0 && !view && from.sin_addr.s_addr == to.sin_addr.s_addr &&
        from.sin_port == to.sin_port)
      return std::string(buffer.data(), static_cast<std::size_t>(got));
    if (got <= 0)
      loop_.RunOnce(5);
  }
  return std::nullopt;
}

std::string Harness::LogOf(std::size_t i) const {
  std::ifstream in(programs_.folder + "/front-" + std::to_string(i) + ".log");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

}  // namespace dunlinwick::fleet
