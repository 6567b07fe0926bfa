// One front of the owner's fleet: its agent, its member of the group where it is one, and their
// datagrams. It runs on a front's socket (src/front/owner.*) and on the stage (src/owner/stage.*)
// as it is.
//
// Datagram: "DO" 1 | kind u8 | from u32 | body. Bytes from outside never throw: what is not one
// message whole is dropped and counted.
#pragma once
#include <deque>
#include <memory>

#include "owner/agent.hpp"
#include "owner/group.hpp"

namespace dunlinwick::owner {

enum class Kind : std::uint8_t {
  kGroup,
  kAsk,
  kAnswer,
  kAct,
  kDid
};
std::string EncodeDid(Id from, const Did& d);
std::string EncodeDo(Id from, const Do& d);
struct Frame {
  Kind kind = Kind::kGroup;
  Id from = 0;
  std::span<const char> body;
};
std::optional<Frame> ReadFrame(std::span<const char> bytes);
std::optional<Do> DecodeDo(std::span<const char> body);

struct NodeTerms {
  Id self = 0;
  std::vector<Id> group;
  std::vector<Job> jobs;
  Terms lease;
  GroupTerms raft;
};

class Node {
 public:
  struct Ways {
    std::function<void(Id to, std::string bytes)> send;
    std::function<void(const std::string& line)> say;
  };
  // `store`: of a member of the group; it outlives the node. `incarnation`: newer at each start.
  Node(NodeTerms terms, Store* store, std::uint64_t incarnation, std::uint64_t seed, Ms now,
       Ways ways);
  /// Becomes a member of the group on `store`, which outlives the membership. Throws
  /// std::runtime_error where the store can't be read; then it is no member. Not to be called from
  /// within a call of this node.
  void Join(Store& store, Ms now);
  /// Ends the membership; what was under way in the group is told as unsure. The agent keeps what
  /// it holds and asks the other members.
  void Leave(Ms now);
  void Tick(Ms now);
  void Receive(Ms now, std::span<const char> bytes);
  Agent& agent() {
    return agent_;
  }
  Group* group() {
    return group_.get();
  }
  const NodeTerms& terms() const {
    return terms_;
  }
  std::uint64_t Refused() const {
    return refused_;
  }
  // A group that grants to whoever asks, without asking its majority: for a test that breaks it on
  // purpose.
  bool grants_alone = false;

 private:
  void Asked(Ms now, Id from, const Ask& a);
  void answer(Ms now, Id to, const Answer& a);
  Agent::Out out(Ms now);
  void note();

  NodeTerms terms_;
  Ways ways_;
  std::uint64_t incarnation_;
  std::uint64_t seed_;
  std::unique_ptr<Group> group_;
  Agent agent_;
  std::uint64_t refused_ = 0;
  Group::Standing notified_ = Group::Standing::kBegins;
  bool led_ = false;
  // Questions under way here, so that one asked twice is put to the group once; emptied as they are
  // answered.
  std::set<std::pair<Id, std::uint64_t>> under_way_;
  // The last answers given as a leader: a question whose answer was lost gets the same one, not a
  // second grant. Known by its words too: a number alone may be an earlier process's (found by a
  // member that came back without its store).
  struct Given {
    Id from = 0;
    std::uint64_t number = 0;
    std::string command;
    Result result;
  };
  std::deque<Given> given_;
  // What is sent to oneself waits for the end of the call.
  std::vector<std::string> to_self_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Table alone_;
};

}  // namespace dunlinwick::owner
