#include "front/exposition.hpp"

#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <iterator>

namespace dunlinwick::front {
namespace {

using exchange::Counters;

// Names and help texts are part of the exported metrics and stay as they are. In them a pull is a
// client's request, a leg an attempt, a call a liveness check of a connection, a notice an update
// of the discovery service, and the notice board that service.
struct Metric {
  const char* name;
  const char* help;
  Counters::Count Counters::*count;
};

constexpr Metric kMetrics[] = {
    {"pulls", "pulls taken from clients", &Counters::requests},
    {"finished", "pulls answered 200", &Counters::succeeded},
    {"unchanged", "pulls answered 304", &Counters::not_modified},
    {"declined", "pulls answered 503", &Counters::rejected},
    {"abandoned", "pulls answered 502", &Counters::failed},
    {"left", "pulls whose client went first", &Counters::client_disconnects},
    {"broken_midway", "streamed answers that broke after they had begun",
     &Counters::aborted_responses},
    {"legs", "legs sent", &Counters::attempts},
    {"fills", "legs sent with a source", &Counters::fills},
    {"legs_finished", "legs ended by HIT or VALID", &Counters::attempts_succeeded},
    {"misses", "legs ended by NONE", &Counters::misses},
    {"full", "legs ended by SHED", &Counters::shed},
    {"errors", "legs ended by FAULT", &Counters::errors},
    {"timed_out", "legs given up by time", &Counters::timed_out},
    {"moot", "legs ended by LATE", &Counters::superseded},
    {"never_ran", "legs lost with their connection, proven not to have run",
     &Counters::lost_unsent},
    {"broken", "legs lost with their connection, written whole before", &Counters::lost_after_send},
    {"cancelled", "legs given up by the decisions", &Counters::cancelled},
    {"late", "answers that came after their leg was given up", &Counters::late_responses},
    {"probes", "probes sent", &Counters::probes},
    {"probes_answered", "probes answered well", &Counters::probes_answered},
    {"calls", "calls to learn whether a connection carries", &Counters::liveness_checks},
    {"client_connections", "connections opened by clients", &Counters::client_connections},
    {"cache_connections", "connections opened to caches", &Counters::cache_connections},
    {"bad_requests", "requests that could not be read", &Counters::bad_requests},
    {"bad_lines", "lines of caches that could not be read", &Counters::malformed_responses},
    {"stalled", "connections to caches ended since an answer stopped short",
     &Counters::stalled_connections},
    {"silent", "connections to caches ended since nothing came", &Counters::silent_connections},
    {"bad_notices", "notices that could not be read", &Counters::bad_watch_events},
    {"list_news", "lists of caches passed on", &Counters::list_updates},
    {"purges", "purges passed on", &Counters::purges},
    {"board_connections", "connections opened to the notice board",
     &Counters::discovery_connections},
    {"board_unanswered", "watches of the discovery service given up before their first line",
     &Counters::unanswered_watches},
    {"short_of_descriptors", "clients not accepted for want of a descriptor",
     &Counters::descriptor_shortages},
    {"short_of_memory", "requests refused and connections closed for want of memory",
     &Counters::memory_shortages},
    {"reloads", "new configurations taken", &Counters::config_reloads},
};
static_assert(std::size(kMetrics) * sizeof(Counters::Count) + sizeof(Counters::refused) ==
                  sizeof(Counters),
              "each counter is exported");

constexpr std::array<const char*, kRejectionReasons> kReasonLabels{
    "deadline",    "admission", "places",    "no_endpoint", "slow_start",
    "utilisation", "link",      "no_source", "attempts"};
constexpr std::array<const char*, kSizeBands> kSizeLabels{"small", "usual", "large"};

// Only combinations that occurred: most reasons never do.
prometheus::MetricFamily RefusedFamily(const Counters& counters) {
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
      metric.label = {{"reason", kReasonLabels[reason]}, {"size", kSizeLabels[size]}};
      metric.counter.value = static_cast<double>(count);
      family.metric.push_back(std::move(metric));
    }
  }
  return family;
}

class CounterCollector final : public prometheus::Collectable {
 public:
  explicit CounterCollector(const Counters& counters) : counters_(counters) {}
  std::vector<prometheus::MetricFamily> Collect() const override {
    std::vector<prometheus::MetricFamily> families;
    families.reserve(std::size(kMetrics) + 1);
    for (const Metric& exported : kMetrics) {
      prometheus::ClientMetric metric;
      metric.counter.value = static_cast<double>(counters_.*exported.count);
      std::string name = std::string("dunlinwick_").append(exported.name).append("_total");
      families.push_back(
          {std::move(name), exported.help, prometheus::MetricType::Counter, {metric}});
    }
    families.push_back(RefusedFamily(counters_));
    return families;
  }

 private:
  const Counters& counters_;
};

}  // namespace

std::string Exposition(const exchange::Counters& counters) {
  return prometheus::TextSerializer().Serialize(CounterCollector(counters).Collect());
}

}  // namespace dunlinwick::front
