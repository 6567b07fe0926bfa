// The counters as Prometheus reads them: every one told once, with its type and help, and its exact
// number.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cstring>
#include <map>
#include <set>
#include <sstream>

#include "front/exposition.hpp"

using namespace dunlinwick;

TEST_CASE("each counter is told once, with help and type before it") {
  exchange::Counters c;
  constexpr std::size_t kMany = sizeof c / sizeof(exchange::Counters::Count);
  exchange::Counters::Count numbers[kMany];
  for (std::size_t i = 0; i < kMany; ++i)
    numbers[i] = 9007199254740000u + i;  // whole in a double, and each another's
  std::memcpy(&c, numbers, sizeof c);
  std::istringstream text(front::Exposition(c));
  std::map<std::string, double> notified;
  std::set<std::string> helped, typed;
  for (std::string line; std::getline(text, line);) {
    std::istringstream words(line);
    std::string first, second, name;
    words >> first;
    if (first == "#") {
      words >> second >> name;
      CHECK((second == "HELP" ? helped : typed).insert(name).second);
      if (second == "TYPE")
        CHECK(line.ends_with(" counter"));
      continue;
    }
    double value = 0;
    REQUIRE((words >> value));
    const std::string family = first.substr(0, first.find('{'));  // labels follow
    CHECK(helped.count(family) == 1);
    CHECK(typed.count(family) == 1);
    CHECK(notified.emplace(first, value).second);
  }
  CHECK(notified.size() == kMany);
  std::set<double> values;
  for (auto& [name, value] : notified)
    values.insert(value);
  CHECK(values.size() == kMany);
  CHECK(*values.begin() == static_cast<double>(numbers[0]));
  CHECK(*values.rbegin() == static_cast<double>(numbers[kMany - 1]));
  CHECK(notified.at("dunlinwick_pulls_total") == static_cast<double>(c.requests));
  CHECK(notified.at("dunlinwick_late_total") == static_cast<double>(c.late_responses));
  CHECK(notified.at("dunlinwick_reloads_total") == static_cast<double>(c.config_reloads));
}
