// The counters in Prometheus' text format: each is exported once, with its type, help and exact
// value.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cstring>
#include <map>
#include <set>
#include <sstream>

#include "front/exposition.hpp"

using namespace dunlinwick;

TEST_CASE("each counter is exported once, after its help and type") {
  exchange::Counters c;
  constexpr std::size_t kCounters = sizeof c / sizeof(exchange::Counters::Count);
  exchange::Counters::Count numbers[kCounters];
  for (std::size_t i = 0; i < kCounters; ++i)
    numbers[i] = 9007199254740000u + i;  // exact in a double, and all different
  std::memcpy(&c, numbers, sizeof c);
  std::istringstream text(front::Exposition(c));
  std::map<std::string, double> exported;
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
    const std::string family = first.substr(0, first.find('{'));  // the name without labels
    CHECK(helped.count(family) == 1);
    CHECK(typed.count(family) == 1);
    CHECK(exported.emplace(first, value).second);
  }
  CHECK(exported.size() == kCounters);
  std::set<double> values;
  for (auto& [name, value] : exported)
    values.insert(value);
  CHECK(values.size() == kCounters);
  CHECK(*values.begin() == static_cast<double>(numbers[0]));
  CHECK(*values.rbegin() == static_cast<double>(numbers[kCounters - 1]));
  CHECK(exported.at("dunlinwick_pulls_total") == static_cast<double>(c.requests));
  CHECK(exported.at("dunlinwick_late_total") == static_cast<double>(c.late_responses));
  CHECK(exported.at("dunlinwick_reloads_total") == static_cast<double>(c.config_reloads));
}
