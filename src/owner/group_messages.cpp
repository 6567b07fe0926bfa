// Encoding and decoding of libraft's messages as datagrams.
#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMaxEntries = 64;
}

int Group::Impl::SendMessage(raft_io* io_handle, raft_io_send* request, const raft_message* message,
                             raft_io_send_cb callback) {
  Impl& impl = Of(io_handle);
  Writer writer;
  writer.WriteNumber(static_cast<std::uint64_t>(Kind::kRaft), 1);
  writer.WriteNumber(message->type, 1);
  bool fits = true;
  switch (message->type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& vote = message->request_vote;
      writer.WriteNumber(vote.term, 8);
      writer.WriteNumber(vote.candidate_id, 8);
      writer.WriteNumber(vote.last_log_index, 8);
      writer.WriteNumber(vote.last_log_term, 8);
      writer.WriteNumber((vote.disrupt_leader ? 1u : 0u) | (vote.pre_vote ? 2u : 0u), 1);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& vote = message->request_vote_result;
      writer.WriteNumber(vote.term, 8);
      writer.WriteNumber(vote.vote_granted, 1);
      writer.WriteNumber(static_cast<std::uint64_t>(vote.pre_vote), 1);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& append = message->append_entries;
      writer.WriteNumber(append.term, 8);
      writer.WriteNumber(append.prev_log_index, 8);
      writer.WriteNumber(append.prev_log_term, 8);
      writer.WriteNumber(append.leader_commit, 8);
      // A follower that is far behind receives the entries in several messages; libraft resends the
      // ones left out here as if they had been lost on the network.
      unsigned count = 0;
      std::size_t total = 0;
      while (count < append.n_entries && count < kMaxEntries &&
             total + append.entries[count].buf.len + 16 < kMaxMessageBytes - 200) {
        total += append.entries[count].buf.len + 16;
        ++count;
      }
      writer.WriteNumber(count, 2);
      for (unsigned k = 0; k < count; ++k) {
        writer.WriteNumber(append.entries[k].term, 8);
        writer.WriteNumber(append.entries[k].type, 2);
        writer.WriteString(BytesOf(append.entries[k].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& append = message->append_entries_result;
      writer.WriteNumber(append.term, 8);
      writer.WriteNumber(append.rejected, 8);
      writer.WriteNumber(append.last_log_index, 8);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& snapshot = message->install_snapshot;
      writer.WriteNumber(snapshot.term, 8);
      writer.WriteNumber(snapshot.last_index, 8);
      writer.WriteNumber(snapshot.last_term, 8);
      writer.WriteNumber(snapshot.conf_index, 8);
      writer.bytes += EncodeConfiguration(snapshot.conf);
      writer.WriteString(BytesOf(snapshot.data));
      fits = writer.bytes.size() <= kMaxMessageBytes;
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const auto& timeout = message->timeout_now;
      writer.WriteNumber(timeout.term, 8);
      writer.WriteNumber(timeout.last_log_index, 8);
      writer.WriteNumber(timeout.last_log_term, 8);
      break;
    }
    default:
      fits = false;
  }
  if (fits)
    impl.send(static_cast<Id>(message->server_id), std::move(writer.bytes));
  // Reports success: only the response shows whether the datagram arrived.
  impl.deferred.push_back([request, callback] { callback(request, 0); });
  return 0;
}

void Group::Impl::HandleRaftMessage(Id from, Reader& reader) {
  if (!started || member_state != MemberState::kMember || !recv_cb)
    return;
  raft_message message{};
  std::string address = AddressOf(from);
  message.type = static_cast<unsigned short>(reader.ReadNumber(1));
  message.server_id = RaftId(from);
  message.server_address = address.c_str();
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
      auto& vote = message.request_vote;
      vote.term = reader.ReadNumber(8);
      vote.candidate_id = reader.ReadNumber(8);
      vote.last_log_index = reader.ReadNumber(8);
      vote.last_log_term = reader.ReadNumber(8);
      std::uint64_t flags = reader.ReadNumber(1);
      vote.disrupt_leader = flags & 1;
      vote.pre_vote = flags & 2;
      if (!reader.IsComplete() || vote.candidate_id != message.server_id)
        return;
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      auto& vote = message.request_vote_result;
      vote.term = reader.ReadNumber(8);
      vote.vote_granted = reader.ReadNumber(1) != 0;
      std::uint64_t pre_vote = reader.ReadNumber(1);
      if (!reader.IsComplete() || pre_vote > raft_tribool_false)
        return;
      vote.pre_vote = static_cast<raft_tribool>(pre_vote);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      auto& append = message.append_entries;
      append.term = reader.ReadNumber(8);
      append.prev_log_index = reader.ReadNumber(8);
      append.prev_log_term = reader.ReadNumber(8);
      append.leader_commit = reader.ReadNumber(8);
      std::uint64_t count = reader.ReadNumber(2);
      std::vector<LogEntry> entries;
      for (std::uint64_t i = 0; i < count && !reader.HasFailed(); ++i) {
        LogEntry entry;
        entry.term = reader.ReadNumber(8);
        entry.type = static_cast<unsigned short>(reader.ReadNumber(2));
        entry.bytes = reader.ReadString(kMaxMessageBytes);
        if (entry.type < RAFT_COMMAND || entry.type > RAFT_CHANGE)
          return;
        entries.push_back(std::move(entry));
      }
      if (!reader.IsComplete())
        return;
      append.n_entries = static_cast<unsigned>(entries.size());
      if (!entries.empty())
        FillEntries(entries, append.entries);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      auto& append = message.append_entries_result;
      append.term = reader.ReadNumber(8);
      append.rejected = reader.ReadNumber(8);
      append.last_log_index = reader.ReadNumber(8);
      if (!reader.IsComplete())
        return;
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      auto& snapshot = message.install_snapshot;
      snapshot.term = reader.ReadNumber(8);
      snapshot.last_index = reader.ReadNumber(8);
      snapshot.last_term = reader.ReadNumber(8);
      snapshot.conf_index = reader.ReadNumber(8);
      if (!DecodeConfiguration(reader, snapshot.conf))
        return;
      std::string data = reader.ReadString(kMaxMessageBytes);
      if (!reader.IsComplete())
        return raft_configuration_close(&snapshot.conf);
      snapshot.data = {AllocateCopy(data), data.size()};
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      auto& timeout = message.timeout_now;
      timeout.term = reader.ReadNumber(8);
      timeout.last_log_index = reader.ReadNumber(8);
      timeout.last_log_term = reader.ReadNumber(8);
      if (!reader.IsComplete())
        return;
      break;
    }
    default:
      return;
  }
  recv_cb(&io, &message);
}

}  // namespace dunlinwick::owner
