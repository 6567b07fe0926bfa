#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <cmath>
#include <cstdio>

#include "drill/run.hpp"

namespace dunlinwick::drill {
namespace {

std::string Print(const char* format, auto... values) {
  char text[400];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

// The time within which a share of the finished came, by the buckets.
Ms Quantile(const std::vector<double>& buckets, double share) {
  double all = 0, sum = 0;
  for (double b : buckets)
    all += b;
  for (std::size_t i = 0; i < buckets.size(); ++i)
    if ((sum += buckets[i]) >= share * all && all > 0)
      return std::pow(1.2, static_cast<double>(i));
  return 0;
}

}  // namespace

double Outcome::Points() const {
  double links = asked_kb > 0 ? bytes.link_kb / asked_kb : 0,
         office = asked_kb > 0 ? bytes.origin_kb / asked_kb : 0;
  return 0.4 * takings.Service() + 0.4 * takings.WorstTen() +
         0.2 * takings.WorstRequestClass().second - 0.06 * links - 0.24 * Wasted() - 0.048 * office;
}

std::string Hex(std::uint64_t digest) {
  return Print("%016llx", static_cast<unsigned long long>(digest));
}

std::string Table(const Outcome& o) {
  const Takings& t = o.takings;
  std::string out;
  out +=
      Print("drill %s, seed %llu: %.1f s played in %.2f s (%.1f times as fast), %llu events\n",
            o.drill.c_str(), static_cast<unsigned long long>(o.seed), o.played / 1000, o.took_s,
            o.played / 1000 / std::max(1e-9, o.took_s), static_cast<unsigned long long>(o.events));
  for (const std::string& one : o.happened)
    out += "  " + one + "\n";
  out += Print("\n  service            %.3f   worst 10 s %.3f   points by the brief %.3f\n",
               t.Service(), t.WorstTen(), o.Points());
  for (std::size_t i = 0; i < o.request_classes.size(); ++i) {
    const auto& s = t.by_request_class[i];
    out += Print("    %-16s %.3f   %llu pulls\n", o.request_classes[i].c_str(),
                 s.asked > 0 ? s.got / s.asked : 1.0, static_cast<unsigned long long>(s.requests));
  }
  out += Print(
      "  tries %llu: finished %llu, unchanged %llu, declined %llu, abandoned %llu, unanswered "
      "%llu, left %llu\n",
      static_cast<unsigned long long>(t.tries), static_cast<unsigned long long>(t.finished),
      static_cast<unsigned long long>(t.unchanged), static_cast<unsigned long long>(t.declined),
      static_cast<unsigned long long>(t.abandoned), static_cast<unsigned long long>(t.unanswered),
      static_cast<unsigned long long>(t.left));
  out += Print(
      "  not taken by a front %llu; finished after the agreed time %llu; refused or failed late "
      "%llu\n",
      static_cast<unsigned long long>(t.refused), static_cast<unsigned long long>(t.late),
      static_cast<unsigned long long>(t.late_failures));
  out += Print("  finished within: half %.0f ms, 9 in 10 %.0f ms, 99 in 100 %.0f ms\n",
               Quantile(t.took, 0.5), Quantile(t.took, 0.9), Quantile(t.took, 0.99));
  out += Print(
      "  legs %llu; work wasted %.4f of what was done; from the head office %.0f MB, over the "
      "links %.0f MB of %.0f MB\n",
      static_cast<unsigned long long>(o.attempts), o.Wasted(), o.bytes.origin_kb / 1000,
      o.bytes.link_kb / 1000, o.asked_kb / 1000);
  const rules::ClosestMargins& n = o.nearest;
  out += "  nearest to each limit:\n";
  out += Print("    answers: %.0f ms of a client's time left\n",
               n.response_margin > 1e8 ? 0.0 : n.response_margin);
  out += Print("    drains: a leg %.0f ms after the word (500)\n", n.attempt_after_drain);
  out += Print("    cold machines: %.2f of what one bears in a window\n", n.slow_start_share);
  out += Print("    purges: a leg %.0f ms after the word, answered from an older copy (500)\n",
               n.attempt_after_purge);
  out += Print("    refusals: held for %.0f ms\n", n.rejection_delay);
  for (int i = 0; i < rules::kInvariantCount; ++i)
    if (o.counts[i] > 0)
      out +=
          Print("\n  BROKEN: %s, %llu times\n", rules::ToString(static_cast<rules::Invariant>(i)),
                static_cast<unsigned long long>(o.counts[i]));
  std::size_t shown = 0;
  for (const rules::Violation& b : o.breaches) {
    if (++shown > 10)
      break;
    out += Print("    %8.3f s  %s  %s%s%s: %s\n", b.at / 1000, rules::ToString(b.invariant),
                 b.actor.c_str(), b.request.empty() ? "" : " pull ", b.request.c_str(),
                 b.description.c_str());
  }
  if (o.Kept())
    out += "\n  all rules kept\n";
  return o.events > 0 ? out + "digest " + Hex(o.digest) + "\n" : out + "on sockets: no digest\n";
}

std::string Report(const Outcome& o) {
  rapidjson::StringBuffer buffer;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(buffer);
  w.SetIndent(' ', 1);
  auto text = [&](const char* name, const std::string& v) {
    w.Key(name);
    w.String(v.c_str());
  };
  auto number = [&](const char* name, double v) {
    w.Key(name);
    w.Double(std::round(v * 1e6) / 1e6);
  };
  auto count = [&](const char* name, std::uint64_t v) {
    w.Key(name);
    w.Uint64(v);
  };
  const Takings& t = o.takings;
  w.StartObject();
  text("drill", o.drill);
  count("seed", o.seed);
  text("played_on", o.events > 0 ? "stage" : "sockets");
  if (o.events > 0)
    text("digest", Hex(o.digest));
  w.Key("rules_kept");
  w.Bool(o.Kept());
  number("played_s", o.played / 1000);
  count("events", o.events);
  w.Key("service");
  w.StartObject();
  number("whole", t.Service());
  number("worst_10_s", t.WorstTen());
  number("points", o.Points());
  w.Key("by_offering");
  w.StartObject();
  for (std::size_t i = 0; i < o.request_classes.size(); ++i)
    number(o.request_classes[i].c_str(),
           t.by_request_class[i].asked > 0 ? t.by_request_class[i].got / t.by_request_class[i].asked
                                           : 1);
  w.EndObject();
  w.Key("by_10_s");
  w.StartArray();
  for (const auto& s : t.by_ten_seconds)
    w.Double(std::round(1e6 * (s.asked > 0 ? s.got / s.asked : 1)) / 1e6);
  w.EndArray();
  w.EndObject();
  w.Key("pulls");
  w.StartObject();
  count("tries", t.tries);
  count("finished", t.finished);
  count("unchanged", t.unchanged);
  count("declined", t.declined);
  count("abandoned", t.abandoned);
  count("unanswered", t.unanswered);
  count("left", t.left);
  count("not_taken", t.refused);
  count("late", t.late);
  count("failed_late", t.late_failures);
  w.EndObject();
  w.Key("work");
  w.StartObject();
  count("legs", o.attempts);
  number("wasted", o.Wasted());
  number("office_mb", o.bytes.origin_kb / 1000);
  number("links_mb", o.bytes.link_kb / 1000);
  w.EndObject();
  w.Key("nearest");
  w.StartObject();
  number("answer_left_ms", o.nearest.response_margin);
  number("drain_after_ms", o.nearest.attempt_after_drain);
  number("cold_share", o.nearest.slow_start_share);
  number("purge_after_ms", o.nearest.attempt_after_purge);
  number("held_ms", o.nearest.rejection_delay);
  w.EndObject();
  w.Key("troubles");
  w.StartArray();
  for (const std::string& one : o.happened)
    w.String(one.c_str());
  w.EndArray();
  w.Key("breaches");
  w.StartArray();
  for (const rules::Violation& b : o.breaches) {
    w.StartObject();
    text("rule", rules::ToString(b.invariant));
    number("at_s", b.at / 1000);
    text("pull", b.request);
    text("who", b.actor);
    text("what", b.description);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(buffer.GetString()) + "\n";
}

}  // namespace dunlinwick::drill
