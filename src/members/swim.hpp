// Membership and failure detection among the fronts of a fleet: SWIM (Das, Gupta, Motivala 2002)
// with the three parts of Lifeguard (Dadgar et al. 2018): a local health multiplier, suspicion
// timeouts that shrink with independent confirmations, and the buddy system. Pure: time and
// messages in, messages out; the caller carries them (src/front/fleet.* on sockets, tests on the
// staged ground or in memory).
//
// What it promises, and what the tests and the model check in tests/members_test.cpp look at:
// - A member that stops answering is suspected within one probe period plus a timeout, and taken
// for dead by
//   every member that hears of it within the suspicion timeout after that (Lifeguard's bounds,
//   below).
// - A member that answers again, or hears that it is suspected, refutes with a higher incarnation;
// news of a higher
//   incarnation always wins, and at one incarnation dead beats suspect beats alive. So all members
//   that hear the same news end in the same state, in any order of hearing (tested exhaustively on
//   small sets).
// - Messages a member sends a period: one probe, the answers to others' probes (one on average),
// and on a failed
//   probe `tries` - 1 repeats and at most `indirectMost` requests, each repeated once; for each
//   suspect `looks` last looks: independent of the fleet's size. Each message carries at most
//   `newsPerMessage` pieces of news and `notesPerMessage` notes, so its size is bounded too.
// - No member is declared dead here by one that has not itself looked for it `looks` times in vain
// during the
//   suspicion's last part; a member that hears of the death takes it, and one that lives refutes.
// Bounds: members are those configured (ids at the door) plus none: news of an id that is not
// configured is passed over. The queue of news holds one piece a member; relayed probes expire
// after a period.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace dunlinwick::members {

using Ms = double;
using Id = std::uint32_t;  // a front's number in the fleet, as configured

enum class State : std::uint8_t {
  kAlive,
  kSuspect,
  kDead
};
const char* ToString(State state);

struct News {
  Id who = 0;
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  Id by = 0;  // who suspected or declared, for Lifeguard's independent confirmations
};

// A small piece of state that a member publishes for the others, spread with the news: the latest
// by sequence wins. Failover's opinions ride on it (src/failover/).
struct Note {
  Id origin = 0;
  std::uint32_t seq = 0;
  std::uint64_t bits = 0;
};

enum class Kind : std::uint8_t {
  kPing,
  kAck,
  kAskPing,
  kNack
};
const char* ToString(Kind kind);

struct Message {
  Kind kind = Kind::kPing;
  Id from = 0;
  Id to = 0;
  std::uint32_t seq = 0;
  Id target = 0;  // askPing, and the ack or nack that answers it: whom to probe
  std::vector<News> news;
  std::vector<Note> notes;
};

struct Terms {
  // One probe a period (SWIM's T'); a direct answer is awaited `probeTimeout`, the indirect ones
  // until the end of the period. Both are multiplied by the local health (Lifeguard), up to
  // (healthMost + 1) times.
  Ms period = 500;
  Ms probe_timeout = 150;
  int indirect = 3;  // SWIM's k, and what is added to it for each step of a bad local health, up to
                     // indirectMost
  int indirect_most = 8;
  // A probe that has no answer after a third and two thirds of its timeout is sent again, and so is
  // a relayed one: a lost datagram is not a lost member. Guards against heavy loss, under which one
  // ping in two stays without its answer; where nothing is lost it costs nothing.
  int tries = 3;
  // A suspect is looked for itself, `looks` times, `probeTimeout` apart, before it is taken for
  // dead.
  int looks = 4;
  // Lifeguard's suspicion timeout: from alpha * log10(n) periods (at least alpha), shrinking from
  // beta times that to it as `confirmations` independent suspicions come in. The paper's figures:
  // alpha 5, beta 6, K 3, S 8.
  double alpha = 5;
  double beta = 6;
  int confirmations = 3;
  int health_most = 8;
  int retransmit =
      4;  // each piece of news is sent retransmit * ceil(log10(n + 1)) times (SWIM's lambda)
  // So many that the news of a hundred deaths at once is through in seconds, and a message is under
  // 600 bytes; where there is less news, messages are as short as it is. With eight, a third of 300
  // members took 47 s to be left.
  std::size_t news_per_message = 32;
  std::size_t notes_per_message = 8;
  Ms note_refresh =
      5000;  // a note is published again this often, so that members who come late hear it
  // A member taken for dead is probed again, one at a time this often, so that the two sides of a
  // healed partition find each other (as Serf's reconnect does); the probe tells it that it is held
  // dead, so that it refutes.
  Ms reconnect = 2000;
};

struct Member {
  Id id = 0;
  State state = State::kAlive;
  std::uint32_t incarnation = 0;
  Ms since = 0;                  // of the present state
  Ms dead_at = 0;                // of a suspect: when it is taken for dead
  int looks = 0;                 // of a suspect: how often it was looked for before that
  Ms look_at = 0;                // the next
  std::vector<Id> suspected_by;  // independent confirmations, at most Terms::confirmations + 1
  Note note;
  bool noted = false;
};

// What changed, for the layer above: a member's state, or a note heard.
struct Change {
  Id who = 0;
  State state = State::kAlive;
  std::uint32_t incarnation = 0;
  bool note_only = false;
};

class Swim {
 public:
  // `others`: every other configured member, taken as alive at incarnation 0 until heard of.
  // `incarnation`: the start's, best from the clock in seconds, so that a restart under the same id
  // is newer than all it was.
  Swim(Id self, std::vector<Id> others, std::uint32_t incarnation, Terms terms, std::uint64_t seed,
       Ms now);

  void Tick(Ms now, std::vector<Message>& out);  // call at wakeAt() or later
  void Receive(Ms now, const Message& m, std::vector<Message>& out);
  void Publish(Ms now, std::uint64_t bits);  // own note; spread from the next message on
  Ms WakeAt() const;

  Id Self() const {
    return self_;
  }
  std::uint32_t Incarnation() const {
    return incarnation_;
  }
  int health() const {
    return health_;
  }  // Lifeguard's local health multiplier, 0 (well) to healthMost
  const std::map<Id, Member>& Members() const {
    return members_;
  }  // without self
  const Note& note() const {
    return own_;
  }
  std::vector<Change> Changes();  // since the last call; emptied by it
  std::size_t alive() const;      // counting self

 private:
  struct Queued {
    News news;
    int sent = 0;
    bool first =
        false;  // the first word of a living member: what a start of many members has most of
  };
  struct Relay {  // a probe made for somebody else
    Id response_sink = 0;
    Id target = 0;
    std::uint32_t response_sink_seq = 0;
    Ms until = 0;
    Ms again_at = 0;
    bool again = false;  // it was sent a second time
  };
  struct Probe {
    Id target = 0;
    std::uint32_t seq = 0;
    Ms timeout_at = 0;
    Ms again_at = 0;
    bool answered = true;
    bool asked_others = false;
    bool asked_again = false;
    int tries = 0;
    int nacks_due = 0;
    std::vector<Id> helpers;
  };

  Message Make(Kind kind, Id to, std::uint32_t seq, Id target);
  void StartProbe(Ms now, std::vector<Message>& out);
  void EndProbe(Ms now);
  void Hear(Ms now, const News& n);
  void HearNote(const Note& n);
  void Set(Ms now, Member& m, State state, std::uint32_t incarnation, Id by);
  void Spread(const News& n, bool first = false);
  void Refute();
  Ms SuspicionTimeout(std::size_t confirmations) const;
  void Ask(std::vector<Message>& out);
  void LookFor(Ms now, Member& m, std::vector<Message>& out);
  int Retransmits() const;
  void Better(int by) {
    health_ = std::clamp(health_ + by, 0, terms_.health_most);
  }

  Id self_;
  std::uint32_t incarnation_;
  Terms terms_;
  std::knuth_b random_;
  std::map<Id, Member> members_;
  std::vector<Id> order_;  // of probing: shuffled each round
  std::size_t next_ = 0;
  std::vector<Queued> queue_;              // at most one a member, self included
  std::map<Id, int> note_sent_;            // by origin: how often its latest note went out
  std::map<std::uint32_t, Relay> relays_;  // by own seq; expire
  Probe probe_;
  Note own_;
  Ms next_probe_at_ = 0;
  Ms note_at_ = 0;
  Ms reconnect_at_ = 0;
  std::uint32_t seq_ = 0;
  int health_ = 0;
  std::vector<Change> changes_;
};

}  // namespace dunlinwick::members
