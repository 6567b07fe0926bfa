// The lease node of one front: its agent, its group membership if it is a member, and the encoding
// of their datagrams. The same code runs on a front's socket (src/front/owner.*) and in the
// simulation (src/rig/ownersim.*).
//
// Datagram: "DO" 1 | kind u8 | from u32 | body. Received bytes never cause an exception: a datagram
// that is not exactly one valid message is dropped and counted.
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
std::optional<Frame> DecodeFrame(std::span<const char> bytes);
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
  // `store`: of a group member, null elsewhere; it outlives the node. `incarnation`: higher at each
  // start.
  Node(NodeSettings settings, Store* store, std::uint64_t incarnation, std::uint64_t seed, Ms now,
       Callbacks callbacks);
  /// Becomes a member of the group on `store`, which outlives the membership. Throws
  /// std::runtime_error if the store cannot be read; the node is then not a member. Not to be
  /// called from a callback of this node.
  void Join(Store& store, Ms now);
  /// Ends the membership; the outcome of commands in flight in the group is reported as unknown.
  /// The agent keeps its leases and sends its requests to the other members.
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
  // A fault that tests inject: grants every request without a majority of the group.
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
  // Requests in flight at this leader, so that a request received twice is proposed once. Entries
  // are removed as the responses are sent.
  std::set<std::pair<Id, std::uint64_t>> pending_requests_;
  // The latest responses sent as leader: a request whose response was lost gets the same response
  // rather than a second grant. Matched by the command's bytes too, as the request id alone may be
  // an earlier process's (this happened with a member that came back without its store).
  struct SentResponse {
    Id from = 0;
    std::uint64_t request_id = 0;
    std::string command;
    Result result;
  };
  std::deque<SentResponse> sent_responses_;
  // Messages from this node to itself, handled at the end of the call.
  std::vector<std::string> messages_to_self_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LeaseTable unreplicated_table_;
};

}  // namespace dunlinwick::owner
