#include "owner/node.hpp"

#include <algorithm>
#include <utility>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

namespace {

Writer BeginFrame(MessageKind kind, Id from) {
  Writer writer;
  writer.bytes = "DO";
  writer.WriteNumber(1, 1);
  writer.WriteNumber(static_cast<std::uint64_t>(kind), 1);
  writer.WriteNumber(from, 4);
  return writer;
}
void Write(Writer& writer, const Result& result) {
  writer.WriteNumber(static_cast<std::uint64_t>(result.status), 1);
  writer.WriteNumber(result.token, 8);
  writer.WriteNumber(result.done_steps, 8);
  writer.WriteNumber(result.holder, 4);
}
bool Read(Reader& reader, Result& result) {
  std::uint64_t status = reader.ReadNumber(1);
  result.token = reader.ReadNumber(8);
  result.done_steps = reader.ReadNumber(8);
  result.holder = static_cast<Id>(reader.ReadNumber(4));
  if (status > static_cast<std::uint64_t>(CommandStatus::kUnknownOutcome))
    return false;
  result.status = static_cast<CommandStatus>(status);
  return !reader.HasFailed();
}
void Write(Writer& writer, const StepRequest& request) {
  writer.WriteString(request.task);
  writer.WriteNumber(request.token, 8);
  writer.WriteNumber(request.step, 8);
}
void Read(Reader& reader, StepRequest& request) {
  request.task = reader.ReadString(kMaxTaskNameLength);
  request.token = reader.ReadNumber(8);
  request.step = reader.ReadNumber(8);
}

}  // namespace

std::string EncodeStepRequest(Id from, const StepRequest& request) {
  Writer writer = BeginFrame(MessageKind::kStepRequest, from);
  Write(writer, request);
  return std::move(writer.bytes);
}
std::string EncodeStepResponse(Id from, const StepResponse& response) {
  Writer writer = BeginFrame(MessageKind::kStepResponse, from);
  Write(writer, response.request);
  writer.WriteNumber(static_cast<std::uint64_t>(response.result), 1);
  writer.WriteNumber(response.highest_token, 8);
  return std::move(writer.bytes);
}

std::optional<Frame> DecodeFrame(std::span<const char> bytes) {
  if (bytes.size() < 8 || bytes[0] != 'D' || bytes[1] != 'O' || bytes[2] != 1)
    return std::nullopt;
  Reader reader(bytes.subspan(3, 5));
  std::uint64_t kind = reader.ReadNumber(1);
  if (kind > static_cast<std::uint64_t>(MessageKind::kStepResponse))
    return std::nullopt;
  return Frame{static_cast<MessageKind>(kind), static_cast<Id>(reader.ReadNumber(4)),
               bytes.subspan(8)};
}
std::optional<StepRequest> DecodeStepRequest(std::span<const char> body) {
  Reader reader(body);
  StepRequest request;
  Read(reader, request);
  if (!reader.IsComplete() || !IsValidTaskName(request.task))
    return std::nullopt;
  return request;
}

Node::Node(NodeSettings settings, Store* store, std::uint64_t incarnation, std::uint64_t seed,
           Ms now, Callbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      incarnation_(incarnation),
      seed_(seed),
      agent_(settings_.self, settings_.group, settings_.tasks, settings_.lease, seed, incarnation,
             now) {
  if (store)
    Join(*store, now);
}

void Node::Join(Store& store, Ms now) {
  group_ = std::make_unique<Group>(
      settings_.self, settings_.group, settings_.raft, settings_.lease, store, incarnation_,
      seed_ * 31 + 7, now, [this](Id to, std::string bytes) {
        Writer writer = BeginFrame(MessageKind::kGroup, settings_.self);
        callbacks_.send(to, writer.bytes + bytes);
      });
}

void Node::Leave(Ms now) {
  if (!group_)
    return;
  // The member's votes are in its store alone. A store that is empty at the next Join() must not be
  // taken for that of this incarnation, which the others know as a bootstrap member: its votes
  // would be lost, and it could vote twice in one term.
  if (group_->HasParticipated())
    incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(now));
  group_.reset();
}

Agent::Callbacks Node::AgentCallbacks(Ms) {
  return {[this](Id to, const LeaseRequest& request) {
            Writer writer = BeginFrame(MessageKind::kLeaseRequest, settings_.self);
            writer.WriteNumber(request.request_id, 8);
            writer.WriteString(Encode(request.command));
            if (to == settings_.self)
              messages_to_self_.push_back(std::move(writer.bytes));
            else
              callbacks_.send(to, std::move(writer.bytes));
          },
          [this](Id to, const StepRequest& request) {
            callbacks_.send(to, EncodeStepRequest(settings_.self, request));
          },
          callbacks_.log_line};
}

void Node::SendLeaseResponse(Ms, Id to, const LeaseResponse& response) {
  Writer writer = BeginFrame(MessageKind::kLeaseResponse, settings_.self);
  writer.WriteNumber(response.request_id, 8);
  Write(writer, response.result);
  writer.WriteNumber(response.leader, 4);
  writer.WriteNumber(response.handled, 1);
  if (to == settings_.self)
    messages_to_self_.push_back(std::move(writer.bytes));
  else
    callbacks_.send(to, std::move(writer.bytes));
}

void Node::HandleLeaseRequest(Ms now, Id from, const LeaseRequest& request) {
  if (request.command.front != from || request.command.operation == Operation::kExpire ||
      request.command.operation == Operation::kBootstrap)
    return void(++rejected_datagrams_);  // only the leader proposes these
  if (grants_without_quorum) {
    Command unreplicated = request.command;
    unreplicated_table_.Apply(Command{Operation::kBootstrap, 0, 1, 0, "group"});
    if (unreplicated.operation == Operation::kAcquire &&
        unreplicated_table_.Tasks().count(unreplicated.task) &&
        unreplicated_table_.Tasks().at(unreplicated.task).holder != 0) {
      const LeasedTask& held = unreplicated_table_.Tasks().at(unreplicated.task);
      Command free{Operation::kExpire, 0, held.token, held.accepted_commands, unreplicated.task};
      unreplicated_table_.Apply(free);
    }
    return SendLeaseResponse(
        now, from, {request.request_id, unreplicated_table_.Apply(unreplicated), 0, true});
  }
  if (!group_)
    return SendLeaseResponse(now, from, {request.request_id, {}, 0, false});
  if (!group_->IsLeader())
    return SendLeaseResponse(now, from, {request.request_id, {}, group_->Leader(), false});
  std::string command = Encode(request.command);
  for (const SentResponse& sent : sent_responses_)
    if (sent.from == from && sent.request_id == request.request_id && sent.command == command)
      return SendLeaseResponse(now, from, {request.request_id, sent.result, 0, true});
  if (!pending_requests_.insert({from, request.request_id}).second)
    return;  // the response follows once the group has applied it
  std::weak_ptr<bool> alive = alive_;
  bool accepted = group_->Propose(
      now, request.command,
      [this, alive, now, from, request_id = request.request_id, command](const Result& result) {
        if (alive.expired())
          return;
        pending_requests_.erase({from, request_id});
        constexpr std::size_t kMaxSentResponses = 256;
        if (result.status != CommandStatus::kUnknownOutcome)
          sent_responses_.push_back({from, request_id, command, result});
        if (sent_responses_.size() > kMaxSentResponses)
          sent_responses_.pop_front();
        SendLeaseResponse(now, from, {request_id, result, 0, true});
      });
  if (!accepted) {
    pending_requests_.erase({from, request.request_id});
    SendLeaseResponse(now, from, {request.request_id, {}, 0, false});
  }
}

void Node::Receive(Ms now, std::span<const char> bytes) {
  auto frame = DecodeFrame(bytes);
  if (!frame)
    return void(++rejected_datagrams_);
  Reader reader(frame->body);
  switch (frame->kind) {
    case MessageKind::kGroup:
      if (group_)
        group_->Receive(now, frame->from, frame->body);
      break;
    case MessageKind::kLeaseRequest: {
      LeaseRequest request;
      request.request_id = reader.ReadNumber(8);
      auto command = Decode(reader.ReadString(200));
      if (!reader.IsComplete() || !command)
        ++rejected_datagrams_;
      else {
        request.command = *command;
        HandleLeaseRequest(now, frame->from, request);
      }
      break;
    }
    case MessageKind::kLeaseResponse: {
      LeaseResponse response;
      response.request_id = reader.ReadNumber(8);
      bool valid = Read(reader, response.result);
      response.leader = static_cast<Id>(reader.ReadNumber(4));
      response.handled = reader.ReadNumber(1) != 0;
      if (!valid || !reader.IsComplete())
        ++rejected_datagrams_;
      else
        agent_.HandleLeaseResponse(now, frame->from, response, AgentCallbacks(now));
      break;
    }
    case MessageKind::kStepResponse: {
      StepResponse response;
      Read(reader, response.request);
      std::uint64_t result = reader.ReadNumber(1);
      response.highest_token = reader.ReadNumber(8);
      if (!reader.IsComplete() || result > static_cast<std::uint64_t>(FencingResult::kFull))
        ++rejected_datagrams_;
      else {
        response.result = static_cast<FencingResult>(result);
        agent_.HandleStepResponse(now, frame->from, response, AgentCallbacks(now));
      }
      break;
    }
    case MessageKind::kStepRequest:
      ++rejected_datagrams_;  // fronts execute no steps
      break;
  }
  while (!messages_to_self_.empty())
    for (const std::string& message : std::exchange(messages_to_self_, {}))
      Receive(now, message);
  LogStateChanges();
}

void Node::Tick(Ms now) {
  if (group_)
    group_->Tick(now);
  agent_.Tick(now, AgentCallbacks(now));
  while (!messages_to_self_.empty())
    for (const std::string& message : std::exchange(messages_to_self_, {}))
      Receive(now, message);
  LogStateChanges();
}

void Node::LogStateChanges() {
  if (!group_)
    return;
  if (group_->member_state() != logged_state_) {
    logged_state_ = group_->member_state();
    callbacks_.log_line(std::string("owner group: ") + ToString(logged_state_) +
                        (group_->FailureReason().empty() ? "" : ": " + group_->FailureReason()));
  }
  if (group_->IsLeader() != logged_as_leader_) {
    logged_as_leader_ = group_->IsLeader();
    callbacks_.log_line(std::string("owner group: ") +
                        (logged_as_leader_ ? "leads" : "leads no more") + " term " +
                        std::to_string(group_->Term()));
  }
}

}  // namespace dunlinwick::owner
