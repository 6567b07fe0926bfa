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

enum class MessageKind : std::uint8_t {
  kGroup,
  kLeaseRequest,
  kLeaseResponse,
  kStepRequest,
  kStepResponse
};
std::string EncodeStepResponse(Id from, const StepResponse& response);
std::string EncodeStepRequest(Id from, const StepRequest& request);
struct Frame {
  MessageKind kind = MessageKind::kGroup;
  Id from = 0;
  std::span<const char> body;
};
std::optional<Frame> ReadFrame(std::span<const char> bytes);
std::optional<StepRequest> DecodeStepRequest(std::span<const char> body);

struct NodeSettings {
  Id self = 0;
  std::vector<Id> group;
  std::vector<TaskSpec> tasks;
  LeaseSettings lease;
  RaftSettings raft;
};

class Node {
 public:
  struct Callbacks {
    std::function<void(Id to, std::string bytes)> send;
    std::function<void(const std::string& line)> log_line;
  };
  // `store`: of a member of the group; it outlives the node. `incarnation`: newer at each start.
  Node(NodeSettings settings, Store* store, std::uint64_t incarnation, std::uint64_t seed, Ms now,
       Callbacks callbacks);
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
  const NodeSettings& settings() const {
    return settings_;
  }
  std::uint64_t RejectedDatagrams() const {
    return rejected_datagrams_;
  }
  // A group that grants to whoever asks, without asking its majority: for a test that breaks it on
  // purpose.
  bool grants_without_quorum = false;

 private:
  void HandleLeaseRequest(Ms now, Id from, const LeaseRequest& request);
  void SendLeaseResponse(Ms now, Id to, const LeaseResponse& response);
  Agent::Callbacks AgentCallbacks(Ms now);
  void LogStateChanges();

  NodeSettings settings_;
  Callbacks callbacks_;
  std::uint64_t incarnation_;
  std::uint64_t seed_;
  std::unique_ptr<Group> group_;
  Agent agent_;
  std::uint64_t rejected_datagrams_ = 0;
  Group::MemberState logged_state_ = Group::MemberState::kBootstrapping;
  bool logged_as_leader_ = false;
  // Questions under way here, so that one asked twice is put to the group once; emptied as they are
  // answered.
  std::set<std::pair<Id, std::uint64_t>> pending_requests_;
  // The last answers given as a leader: a question whose answer was lost gets the same one, not a
  // second grant. Known by its words too: a number alone may be an earlier process's (found by a
  // member that came back without its store).
  struct SentResponse {
    Id from = 0;
    std::uint64_t request_id = 0;
    std::string command;
    Result result;
  };
  std::deque<SentResponse> sent_responses_;
  // What is sent to oneself waits for the end of the call.
  std::vector<std::string> messages_to_self_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LeaseTable unreplicated_table_;
};

}  // namespace dunlinwick::owner
