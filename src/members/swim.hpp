// Membership and failure detection among the fronts of a fleet: SWIM (Das, Gupta, Motivala 2002)
// with the three parts of Lifeguard (Dadgar et al. 2018): a local health multiplier, suspicion
// timeouts that shrink with independent confirmations, and the buddy system. No I/O and no clock:
// time and messages in, messages out. The caller transports them: src/front/fleet.* over UDP
// sockets, tests over a simulated network or in memory.
//
// Guarantees, checked by the tests and the model check in tests/members_test.cpp:
// - A member that stops answering is suspected within one probe period plus a timeout. Every member
//   that learns of the suspicion declares it dead within the suspicion timeout after that
//   (Lifeguard's bounds, below).
// - A member that answers again, or learns that it is suspected, refutes with a higher incarnation.
//   An update with a higher incarnation always wins; at equal incarnations dead overrides suspect
//   and suspect overrides alive. So all members that receive the same updates end in the same
//   state, whatever the order (tested exhaustively on small sets).
// - Messages that a member sends per period: one probe, the answers to others' probes (one on
//   average), and on a failed probe `probe_tries` - 1 retransmissions and at most
//   `max_indirect_probes` ping requests, each sent at most twice; for each suspect `final_probes`
//   final probes. This does not depend on the fleet's size. Each message carries at most
//   `max_updates_per_message` updates and `max_payloads_per_message` payloads, so its size is
//   bounded too.
// - No member declares another dead without having sent it `final_probes` unanswered probes of its
//   own during the last part of the suspicion. A member that receives the death update adopts it,
//   and a member that is alive refutes it.
// Bounds: the membership is the configured set; updates about an id that is not configured are
// ignored. The update queue holds one update per member; relayed probes expire after their timeout.
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

struct MemberUpdate {
  Id member = 0;
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  Id reporter = 0;  // who suspected it or declared it dead, for Lifeguard's confirmations
};

// A small state that a member publishes to the others, piggybacked on messages like the updates;
// the highest sequence number wins. Failover's zone health observations use it (src/failover/).
struct Payload {
  Id publisher = 0;
  std::uint32_t seq = 0;
  std::uint64_t bits = 0;
};

enum class Kind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kNack
};
const char* ToString(Kind kind);

struct Message {
  Kind kind = Kind::kPing;
  Id from = 0;
  Id to = 0;
  std::uint32_t seq = 0;
  Id target = 0;  // the member to probe: of a ping request, and of the ack or nack that answers it
  std::vector<MemberUpdate> updates;
  std::vector<Payload> payloads;
};

struct Settings {
  // One probe per period (SWIM's T'). A direct answer is awaited for `probe_timeout`, indirect ones
  // until the end of the period. Both are multiplied by local health + 1 (Lifeguard), so by at most
  // max_health + 1.
  Ms period = 500;
  Ms probe_timeout = 150;
  int indirect_probes = 3;  // SWIM's k; each step of degraded local health adds one, up to
                            // max_indirect_probes
  int max_indirect_probes = 8;
  // A probe without an answer is retransmitted after one and two thirds of its timeout, and a
  // relayed probe once: a lost datagram is not a failed member. Guards against heavy loss, under
  // which every second ping stays unanswered; without loss it costs nothing.
  int probe_tries = 3;
  // Final probes that this member sends to a suspect, `probe_timeout` apart, before it declares the
  // suspect dead.
  int final_probes = 4;
  // Lifeguard's suspicion timeout: it starts at beta times alpha * log10(n) periods and shrinks to
  // alpha * log10(n) periods (at least alpha) as `confirmations` independent suspicions arrive.
  // The values are the paper's: alpha 5, beta 6, K 3, S 8.
  double alpha = 5;
  double beta = 6;
  int confirmations = 3;
  int max_health = 8;
  int retransmit_multiplier =
      4;  // each update is sent retransmit_multiplier * ceil(log10(n + 1)) times (SWIM's lambda)
  // Enough that the updates of a hundred simultaneous deaths spread within seconds, with messages
  // under 600 bytes; with fewer updates messages are shorter. With eight, a third of 300 members
  // took 47 s to be declared dead.
  std::size_t max_updates_per_message = 32;
  std::size_t max_payloads_per_message = 8;
  Ms payload_refresh_period =
      5000;  // the own payload is published again this often, for members that join late
  // One dead member is probed this often, so that the two sides of a healed partition find each
  // other (like Serf's reconnect). The probe carries the update that holds it dead, so that it
  // refutes.
  Ms reconnect_period = 2000;
};

struct Member {
  Id id = 0;
  State state = State::kAlive;
  std::uint32_t incarnation = 0;
  Ms since = 0;                  // when the present state began
  Ms dead_at = 0;                // of a suspect: when it is declared dead
  int final_probes_sent = 0;     // of a suspect
  Ms next_final_probe_at = 0;    // of a suspect
  std::vector<Id> suspected_by;  // confirmations, at most Settings::confirmations + 1
  Payload payload;
  bool has_payload = false;
};

// A change reported to the layer above: of a member's state, or a new payload.
struct Change {
  Id member = 0;
  State state = State::kAlive;
  std::uint32_t incarnation = 0;
  bool payload_only = false;
};

class Swim {
 public:
  // `others`: every other configured member, held alive at incarnation 0 until an update arrives.
  // `incarnation`: this start's, best the clock in seconds, so that a restart under the same id is
  // newer than anything the member was before.
  Swim(Id self, std::vector<Id> others, std::uint32_t incarnation, Settings settings,
       std::uint64_t seed, Ms now);

  void Tick(Ms now, std::vector<Message>& out);  // call at WakeAt() or later
  void Receive(Ms now, const Message& m, std::vector<Message>& out);
  void Publish(Ms now, std::uint64_t bits);  // own payload; sent from the next message on
  Ms WakeAt() const;

  Id Self() const {
    return self_;
  }
  std::uint32_t Incarnation() const {
    return incarnation_;
  }
  int health() const {
    return health_;
  }  // Lifeguard's local health multiplier, 0 (healthy) to max_health
  const std::map<Id, Member>& Members() const {
    return members_;
  }  // without self
  const Payload& payload() const {
    return own_payload_;
  }
  std::vector<Change> TakeChanges();  // changes since the last call
  std::size_t alive() const;          // members that are not dead, self included

 private:
  struct QueuedUpdate {
    MemberUpdate update;
    int sent = 0;
    bool initial =
        false;  // the first update of an alive member; most updates are, when a fleet starts
  };
  struct Relay {  // a probe sent on behalf of another member
    Id requester = 0;
    Id target = 0;
    std::uint32_t requester_seq = 0;
    Ms expires_at = 0;
    Ms retry_at = 0;
    bool retried = false;
  };
  struct Probe {
    Id target = 0;
    std::uint32_t seq = 0;
    Ms timeout_at = 0;
    Ms retry_at = 0;
    bool answered = true;
    bool indirect_sent = false;
    bool indirect_retried = false;
    int tries = 0;
    int nacks_pending = 0;
    std::vector<Id> helpers;
  };

  Message MakeMessage(Kind kind, Id to, std::uint32_t seq, Id target);
  void StartProbe(Ms now, std::vector<Message>& out);
  void EndProbe(Ms now);
  void ApplyUpdate(Ms now, const MemberUpdate& update);
  void ApplyPayload(const Payload& payload);
  void SetState(Ms now, Member& m, State state, std::uint32_t incarnation, Id reporter);
  void QueueUpdate(const MemberUpdate& update, bool initial = false);
  void Refute();
  Ms SuspicionTimeout(std::size_t confirmations) const;
  void SendPingRequests(std::vector<Message>& out);
  void SendFinalProbe(Ms now, Member& m, std::vector<Message>& out);
  int MaxTransmissions() const;
  void AdjustHealth(int delta) {
    health_ = std::clamp(health_ + delta, 0, settings_.max_health);
  }

  Id self_;
  std::uint32_t incarnation_;
  Settings settings_;
  std::knuth_b random_engine_;
  std::map<Id, Member> members_;
  std::vector<Id> probe_order_;  // shuffled each round
  std::size_t next_in_order_ = 0;
  std::vector<QueuedUpdate> queue_;          // at most one per member, self included
  std::map<Id, int> payload_transmissions_;  // by publisher: times its latest payload was sent
  std::map<std::uint32_t, Relay> relays_;    // by own sequence number
  Probe probe_;
  Payload own_payload_;
  Ms next_probe_at_ = 0;
  Ms refresh_payload_at_ = 0;
  Ms reconnect_at_ = 0;
  std::uint32_t seq_ = 0;
  int health_ = 0;
  std::vector<Change> changes_;
};

}  // namespace dunlinwick::members
