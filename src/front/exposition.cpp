#include "front/exposition.hpp"

#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <iterator>

namespace dunlinwick::front {
namespace {

using exchange::Counters;

struct Row {
  const char* name;
  const char* help;
  Counters::Count Counters::*count;
};

constexpr Row kRows[] = {
    {"pulls", "pulls taken from clients", &Counters::requests},
    {"finished", "pulls answered 200", &Counters::finished},
    {"unchanged", "pulls answered 304", &Counters::unchanged},
    {"declined", "pulls answered 503", &Counters::declined},
    {"abandoned", "pulls answered 502", &Counters::abandoned},
    {"left", "pulls whose client went first", &Counters::left},
    {"broken_midway", "streamed answers that broke after they had begun", &Counters::broken_midway},
    {"legs", "legs sent", &Counters::attempts},
    {"fills", "legs sent with a source", &Counters::fills},
    {"legs_finished", "legs ended by HIT or VALID", &Counters::attempts_finished},
    {"misses", "legs ended by NONE", &Counters::misses},
    {"full", "legs ended by SHED", &Counters::full},
    {"errors", "legs ended by FAULT", &Counters::errors},
    {"timed_out", "legs given up by time", &Counters::timed_out},
    {"moot", "legs ended by LATE", &Counters::superseded},
    {"never_ran", "legs lost with their connection, proven not to have run", &Counters::never_ran},
    {"broken", "legs lost with their connection, written whole before", &Counters::broken},
    {"cancelled", "legs given up by the decisions", &Counters::cancelled},
    {"late", "answers that came after their leg was given up", &Counters::late_answers},
    {"probes", "probes sent", &Counters::probes},
    {"probes_answered", "probes answered well", &Counters::probes_answered},
    {"calls", "calls to learn whether a connection carries", &Counters::calls},
    {"client_connections", "connections opened by clients", &Counters::client_connections},
    {"cache_connections", "connections opened to caches", &Counters::cache_connections},
    {"bad_requests", "requests that could not be read", &Counters::bad_requests},
    {"bad_lines", "lines of caches that could not be read", &Counters::bad_lines},
    {"stalled", "connections to caches ended since an answer stopped short", &Counters::stalled},
    {"silent", "connections to caches ended since nothing came", &Counters::silent},
    {"bad_notices", "notices that could not be read", &Counters::bad_watch_events},
    {"list_news", "lists of caches passed on", &Counters::list_news},
    {"purges", "purges passed on", &Counters::purges},
    {"board_connections", "connections opened to the notice board",
     &Counters::discovery_connections},
    {"short_of_descriptors", "clients not accepted for want of a descriptor",
     &Counters::short_of_descriptors},
    {"reloads", "new configurations taken", &Counters::reloads},
};
static_assert(std::size(kRows) * sizeof(Counters::Count) + sizeof(Counters::refused) ==
                  sizeof(Counters),
              "each counter is told");

constexpr std::array<const char*, kRejectionReasons> kReasons{
    "deadline",    "admission", "places",    "no_endpoint", "slow_start",
    "utilisation", "link",      "no_source", "attempts"};
constexpr std::array<const char*, kSizeBands> kSizes{"small", "usual", "large"};

// Only what was counted: most reasons never come.
prometheus::MetricFamily Refused(const Counters& counters) {
  prometheus::MetricFamily family{"dunlinwick_refused_total",
                                  "pulls answered 503, by reason and by size beside their class's "
                                  "mean (large: over twice, small: under half)",
                                  prometheus::MetricType::Counter,
                                  {}};
  for (std::size_t reason = 0; reason < kRejectionReasons; ++reason) {
    for (std::size_t size = 0; size < kSizeBands; ++size) {
      const Counters::Count count = counters.refused[reason][size];
      if (count == 0)
        continue;
      prometheus::ClientMetric metric;
      metric.label = {{"reason", kReasons[reason]}, {"size", kSizes[size]}};
      metric.counter.value = static_cast<double>(count);
      family.metric.push_back(std::move(metric));
    }
  }
  return family;
}

class Gathered final : public prometheus::Collectable {
 public:
  explicit Gathered(const Counters& counters) : counters_(counters) {}
  std::vector<prometheus::MetricFamily> Collect() const override {
    std::vector<prometheus::MetricFamily> all;
    all.reserve(std::size(kRows) + 1);
    for (const Row& row : kRows) {
      prometheus::ClientMetric metric;
      metric.counter.value = static_cast<double>(counters_.*row.count);
      std::string name = std::string("dunlinwick_").append(row.name).append("_total");
      all.push_back({std::move(name), row.help, prometheus::MetricType::Counter, {metric}});
    }
    all.push_back(Refused(counters_));
    return all;
  }

 private:
  const Counters& counters_;
};

}  // namespace

std::string Exposition(const exchange::Counters& counters) {
  return prometheus::TextSerializer().Serialize(Gathered(counters).Collect());
}

}  // namespace dunlinwick::front
