#include "front/charter.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace dunlinwick::front {

using json::Kind;
using json::Value;

static const Value& need(const Value& in, const char* name, Kind kind) {
  const Value* v = in.find(name, kind);
  if (!v) throw std::runtime_error(std::string("configuration lacks a usable ") + name);
  return *v;
}

static loop::Address address(const std::string& text, const char* name) {
  auto at = loop::readAddress(text);
  if (!at) throw std::runtime_error(std::string(name) + " is no address: " + text);
  return *at;
}

Charter readCharter(const std::string& path, const std::string& listen) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error("configuration cannot be read: " + path);
  return readCharterText(text.str(), path, listen);
}

Charter readCharterText(const std::string& text, const std::string& named, const std::string& listen) {
  auto all = json::read(text);
  if (!all || all->kind != Kind::object) throw std::runtime_error("configuration is no JSON object: " + named);
  Charter c;
  c.name = all->word("name");
  c.listen = address(listen.empty() ? need(*all, "listen", Kind::string).text : listen, "listen");
  c.boardText = need(*all, "board", Kind::string).text;
  c.board = address(c.boardText, "board");
  const std::string& seed = need(*all, "seed", Kind::string).text;
  auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (fault != std::errc{} || end != seed.data() + seed.size())
    throw std::runtime_error("seed is no hexadecimal number: " + seed);
  const Value& limits = need(*all, "limits", Kind::object);
  c.memoryMb = need(limits, "memory_mb", Kind::number).asNumber();
  double sockets = need(limits, "sockets", Kind::number).asNumber();
  if (!(c.memoryMb >= 32 && sockets >= 64 && sockets <= 1e6))
    throw std::runtime_error("limits are too small to serve: 32 MB and 64 sockets are the least");
  c.descriptors = static_cast<std::size_t>(sockets);
  c.known = need(*all, "known", Kind::object);
  std::string settings = sheet::dotted(need(*all, "settings", Kind::object));
  c.sheet = sheet::readSheet(settings);
  c.terms = sheet::readRoadTerms(settings);
  // The protocol: clients hold at most a third of the descriptor limit, and one request on each.
  int third = static_cast<int>(c.descriptors / 3);
  c.sheet.places = c.sheet.places > 0 ? std::min(c.sheet.places, third) : third;
  return c;
}

}  // namespace dunlinwick::front
