// libraft's messages as datagrams, written and read.
#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMaxEntries = 64;
}

int Group::Impl::SendMessage(raft_io* i, raft_io_send* req, const raft_message* m,
                             raft_io_send_cb cb) {
  Impl& impl = Of(i);
  Writer w;
  w.WriteNumber(static_cast<std::uint64_t>(Kind::kRaft), 1);
  w.WriteNumber(m->type, 1);
  bool fits = true;
  switch (m->type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = m->request_vote;
      w.WriteNumber(v.term, 8);
      w.WriteNumber(v.candidate_id, 8);
      w.WriteNumber(v.last_log_index, 8);
      w.WriteNumber(v.last_log_term, 8);
      w.WriteNumber((v.disrupt_leader ? 1u : 0u) | (v.pre_vote ? 2u : 0u), 1);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& v = m->request_vote_result;
      w.WriteNumber(v.term, 8);
      w.WriteNumber(v.vote_granted, 1);
      w.WriteNumber(static_cast<std::uint64_t>(v.pre_vote), 1);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& a = m->append_entries;
      w.WriteNumber(a.term, 8);
      w.WriteNumber(a.prev_log_index, 8);
      w.WriteNumber(a.prev_log_term, 8);
      w.WriteNumber(a.leader_commit, 8);
      // A follower that is far behind takes them in several messages; what is left out counts as
      // lost on the way.
      unsigned n = 0;
      std::size_t bytes = 0;
      while (n < a.n_entries && n < kMaxEntries &&
             bytes + a.entries[n].buf.len + 16 < kMaxMessageBytes - 200) {
        bytes += a.entries[n].buf.len + 16;
        ++n;
      }
      w.WriteNumber(n, 2);
      for (unsigned k = 0; k < n; ++k) {
        w.WriteNumber(a.entries[k].term, 8);
        w.WriteNumber(a.entries[k].type, 2);
        w.WriteString(BytesOf(a.entries[k].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& a = m->append_entries_result;
      w.WriteNumber(a.term, 8);
      w.WriteNumber(a.rejected, 8);
      w.WriteNumber(a.last_log_index, 8);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& s = m->install_snapshot;
      w.WriteNumber(s.term, 8);
      w.WriteNumber(s.last_index, 8);
      w.WriteNumber(s.last_term, 8);
      w.WriteNumber(s.conf_index, 8);
      w.bytes += EncodeConfiguration(s.conf);
      w.WriteString(BytesOf(s.data));
      fits = w.bytes.size() <= kMaxMessageBytes;
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const auto& t = m->timeout_now;
      w.WriteNumber(t.term, 8);
      w.WriteNumber(t.last_log_index, 8);
      w.WriteNumber(t.last_log_term, 8);
      break;
    }
    default:
      fits = false;
  }
  if (fits)
    impl.send(static_cast<Id>(m->server_id), std::move(w.bytes));
  // Gone as a datagram: whether it came shows by the answer.
  impl.deferred.push_back([req, cb] { cb(req, 0); });
  return 0;
}

void Group::Impl::HandleRaftMessage(Id from, Reader& r) {
  if (!started || member_state != MemberState::kMember || !recv_cb)
    return;
  raft_message m{};
  std::string address = AddressOf(from);
  m.type = static_cast<unsigned short>(r.ReadNumber(1));
  m.server_id = RaftId(from);
  m.server_address = address.c_str();
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      auto& v = m.request_vote;
      v.term = r.ReadNumber(8);
      v.candidate_id = r.ReadNumber(8);
      v.last_log_index = r.ReadNumber(8);
      v.last_log_term = r.ReadNumber(8);
      std::uint64_t flags = r.ReadNumber(1);
      v.disrupt_leader = flags & 1;
      v.pre_vote = flags & 2;
      if (!r.IsComplete() || v.candidate_id != m.server_id)
        return;
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      auto& v = m.request_vote_result;
      v.term = r.ReadNumber(8);
      v.vote_granted = r.ReadNumber(1) != 0;
      std::uint64_t pre = r.ReadNumber(1);
      if (!r.IsComplete() || pre > raft_tribool_false)
        return;
      v.pre_vote = static_cast<raft_tribool>(pre);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      auto& a = m.append_entries;
      a.term = r.ReadNumber(8);
      a.prev_log_index = r.ReadNumber(8);
      a.prev_log_term = r.ReadNumber(8);
      a.leader_commit = r.ReadNumber(8);
      std::uint64_t n = r.ReadNumber(2);
      std::vector<LogEntry> all;
      for (std::uint64_t i = 0; i < n && !r.HasFailed(); ++i) {
        LogEntry e;
        e.term = r.ReadNumber(8);
        e.type = static_cast<unsigned short>(r.ReadNumber(2));
        e.bytes = r.ReadString(kMaxMessageBytes);
        if (e.type < RAFT_COMMAND || e.type > RAFT_CHANGE)
          return;
        all.push_back(std::move(e));
      }
      if (!r.IsComplete())
        return;
      a.n_entries = static_cast<unsigned>(all.size());
      if (!all.empty())
        FillEntries(all, a.entries);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      auto& a = m.append_entries_result;
      a.term = r.ReadNumber(8);
      a.rejected = r.ReadNumber(8);
      a.last_log_index = r.ReadNumber(8);
      if (!r.IsComplete())
        return;
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      auto& s = m.install_snapshot;
      s.term = r.ReadNumber(8);
      s.last_index = r.ReadNumber(8);
      s.last_term = r.ReadNumber(8);
      s.conf_index = r.ReadNumber(8);
      if (!DecodeConfiguration(r, s.conf))
        return;
      std::string data = r.ReadString(kMaxMessageBytes);
      if (!r.IsComplete())
        return raft_configuration_close(&s.conf);
      s.data = {AllocateCopy(data), data.size()};
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      auto& t = m.timeout_now;
      t.term = r.ReadNumber(8);
      t.last_log_index = r.ReadNumber(8);
      t.last_log_term = r.ReadNumber(8);
      if (!r.IsComplete())
        return;
      break;
    }
    default:
      return;
  }
  recv_cb(&io, &m);
}

}  // namespace dunlinwick::owner
