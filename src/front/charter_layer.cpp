// The blocks record, recovery and rules of a configuration: refused whole with field and reason.
#include <algorithm>
#include <stdexcept>

#include "front/charter.hpp"

namespace dunlinwick::front {

using json::Kind;
using json::Value;

namespace {

// Reads one block's fields by name, refuses what is not one of them.
class Block {
 public:
  Block(const char* name, const Value& in) : name_(name), in_(in) {
    if (in.kind != Kind::kObject)
      throw std::runtime_error(std::string(name) + ": an object wanted");
  }
  std::runtime_error Fault(const std::string& where, const std::string& why) const {
    return std::runtime_error(std::string(name_) + "." + where + ": " + why);
  }
  const Value* Find(const char* field) {
    known_.push_back(field);
    return in_.Find(field);
  }
  template <class T>
  void number(const char* field, T& into, double least, double most, bool whole = true) {
    const Value* v = Find(field);
    if (!v)
      return;
    double n = v->kind == Kind::kNumber ? v->AsNumber() : least - 1;
    if (!(n >= least && n <= most) ||
        (whole && n != static_cast<double>(static_cast<long long>(n)))) {
      char text[128];
      std::snprintf(text, sizeof text, "a %snumber from %g to %g wanted", whole ? "whole " : "",
                    least, most);
      throw Fault(field, text);
    }
    into = static_cast<T>(n);
  }
  void Flag(const char* field, bool& into) {
    const Value* v = Find(field);
    if (!v)
      return;
    if (v->kind != Kind::kBoolean)
      throw Fault(field, "true or false wanted");
    into = v->text == "true";
  }
  void Over() const {
    for (const auto& [field, value] : in_.members)
      if (std::find(known_.begin(), known_.end(), field) == known_.end())
        throw Fault(field, "not a field of this block");
  }

 private:
  const char* name_;
  const Value& in_;
  std::vector<std::string> known_;
};

}  // namespace

static RecordTerms ReadRecord(const Value& in, const std::vector<std::uint32_t>& peers,
                              bool standing) {
  RecordTerms t;
  t.on = true;
  Block b("record", in);
  if (!standing)
    throw b.Fault("keepers",
                  "an owner block with a standing work named record is needed: who owns it writes");
  const Value* keepers = b.Find("keepers");
  if (!keepers || keepers->kind != Kind::kArray ||
      (keepers->items.size() != 3 && keepers->items.size() != 5))
    throw b.Fault("keepers", "3 or 5 ids of the peers wanted");
  for (const Value& k : keepers->items) {
    auto id = k.kind == Kind::kNumber ? static_cast<std::uint32_t>(k.AsNumber()) : 0;
    if (std::find(peers.begin(), peers.end(), id) == peers.end())
      throw b.Fault("keepers", "holds what is not among peers.members");
    if (std::find(t.keepers.begin(), t.keepers.end(), id) != t.keepers.end())
      throw b.Fault("keepers", "names one twice");
    t.keepers.push_back(id);
  }
  if (const Value* store = b.Find("store")) {
    if (store->kind != Kind::kString || store->text.empty())
      throw b.Fault("store", "a folder wanted");
    t.store = store->text;
  }
  double mb = static_cast<double>(t.log.most_bytes) / (1 << 20);
  b.number("most_mb", mb, 1, 1024, false);
  t.log.most_bytes = static_cast<std::size_t>(mb * (1 << 20));
  b.number("lag_ms", t.log.lag, 0, 1e10);
  b.number("tombstone_term_ms", t.log.tombstone_term, 0, 1e11);
  b.number("dead_share", t.log.dead_share, 0.01, 0.99, false);
  b.number("lease_ms", t.subscriber.lease, 1000, 1e9);
  b.number("ask_every_ms", t.subscriber.ask_every, 20, 10000);
  b.number("stale_after_ms", t.stale_after, 100, 600000);
  if (t.stale_after < 2 * t.subscriber.ask_every)
    throw b.Fault("stale_after_ms",
                  "twice ask_every_ms at least wanted: one lost answer is no trouble");
  b.Over();
  return t;
}

static RecoveryTerms ReadRecovery(const Value& in) {
  RecoveryTerms t;
  t.on = true;
  Block b("recovery", in);
  if (const Value* store = b.Find("store")) {
    if (store->kind != Kind::kString || store->text.empty())
      throw b.Fault("store", "a folder wanted");
    t.store = store->text;
  }
  b.number("hello_every_ms", t.terms.hello_every, 50, 10000);
  b.number("forget_ms", t.terms.forget, 500, 600000);
  b.number("young_ms", t.terms.young, 1000, 3600000);
  b.number("neighbours_at_most_ms", t.terms.neighbours_at_most, 100, 600000);
  b.number("group_at_most_ms", t.terms.group_at_most, 100, 3600000);
  b.number("record_at_most_ms", t.terms.record_at_most, 100, 3600000);
  b.number("rules_at_most_ms", t.terms.rules_at_most, 100, 3600000);
  b.number("first", t.terms.first, 0.001, 1, false);
  b.number("grow", t.terms.grow, 1.01, 4, false);
  b.number("least", t.terms.least, 0.0001, 1, false);
  b.number("step_ms", t.terms.step_every, 20, 60000);
  if (t.terms.least > t.terms.first)
    throw b.Fault("least", "at most first wanted");
  b.Over();
  return t;
}

static RulesTerms ReadRules(const Value& in) {
  RulesTerms t;
  t.on = true;
  Block b("rules", in);
  b.Flag("second_approver", t.wants_second);
  b.number("round_ms", t.terms.round, 50, 60000);
  b.number("fanout", t.terms.fanout, 1, 8);
  b.number("steady", t.terms.steady, 1, 20);
  b.number("silent_ms", t.terms.silent, 500, 3600000);
  b.number("at_once", t.terms.at_once, 1, 100);
  b.number("least_serving", t.terms.least_serving, 0, 1, false);
  b.number("repair_within_ms", t.terms.repair_within, 100, 3600000);
  b.number("watch_ms", t.terms.watch_for, 0, 3600000);
  b.number("alarm", t.terms.alarm, 0.001, 1, false);
  b.number("often", t.terms.often, 1, 1000);
  b.number("within_ms", t.terms.within, 1000, 1e9);
  b.Over();
  return t;
}

void ReadLayer(const Value& all, Configuration& c) {
  const Value *record = all.Find("record"), *recovery = all.Find("recovery"),
              *rules = all.Find("rules");
  if (!record && !recovery && !rules)
    return;
  auto need = [](bool there, const char* why) {
    if (!there)
      throw std::runtime_error(why);
  };
  need(c.peers.on, "record, recovery and rules need a peers block: they run over its socket");
  std::vector<std::uint32_t> ids;
  for (const auto& [id, at] : c.peers.at)
    ids.push_back(id);
  bool standing =
      std::any_of(c.owner.works.begin(), c.owner.works.end(),
                  [](const OwnerTerms::Work& w) { return w.standing && w.name == "record"; });
  if (record)
    c.record = ReadRecord(*record, ids, standing);
  if (recovery)
    c.recovery = ReadRecovery(*recovery);
  if (rules) {
    need(record, "rules: a record block wanted: approvals come by it");
    c.rules = ReadRules(*rules);
  }
}

}  // namespace dunlinwick::front
