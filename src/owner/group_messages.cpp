// libraft's messages as datagrams, written and read.
#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMostEntries = 64;
}

int Group::Inner::SendMessage(raft_io* i, raft_io_send* req, const raft_message* m,
                              raft_io_send_cb cb) {
  Inner& in = Of(i);
  Writer w;
  w.number(static_cast<std::uint64_t>(Kind::kRaft), 1);
  w.number(m->type, 1);
  bool fits = true;
  switch (m->type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = m->request_vote;
      w.number(v.term, 8);
      w.number(v.candidate_id, 8);
      w.number(v.last_log_index, 8);
      w.number(v.last_log_term, 8);
      w.number((v.disrupt_leader ? 1u : 0u) | (v.pre_vote ? 2u : 0u), 1);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& v = m->request_vote_result;
      w.number(v.term, 8);
      w.number(v.vote_granted, 1);
      w.number(static_cast<std::uint64_t>(v.pre_vote), 1);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& a = m->append_entries;
      w.number(a.term, 8);
      w.number(a.prev_log_index, 8);
      w.number(a.prev_log_term, 8);
      w.number(a.leader_commit, 8);
      // A follower that is far behind takes them in several messages; what is left out counts as
      // lost on the way.
      unsigned n = 0;
      std::size_t bytes = 0;
      while (n < a.n_entries && n < kMostEntries &&
             bytes + a.entries[n].buf.len + 16 < kMostBytes - 200) {
        bytes += a.entries[n].buf.len + 16;
        ++n;
      }
      w.number(n, 2);
      for (unsigned k = 0; k < n; ++k) {
        w.number(a.entries[k].term, 8);
        w.number(a.entries[k].type, 2);
        w.Text(TextOf(a.entries[k].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& a = m->append_entries_result;
      w.number(a.term, 8);
      w.number(a.rejected, 8);
      w.number(a.last_log_index, 8);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& s = m->install_snapshot;
      w.number(s.term, 8);
      w.number(s.last_index, 8);
      w.number(s.last_term, 8);
      w.number(s.conf_index, 8);
      w.bytes += Encoded(s.conf);
      w.Text(TextOf(s.data));
      fits = w.bytes.size() <= kMostBytes;
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const auto& t = m->timeout_now;
      w.number(t.term, 8);
      w.number(t.last_log_index, 8);
      w.number(t.last_log_term, 8);
      break;
    }
    default:
      fits = false;
  }
  if (fits)
    in.send(static_cast<Id>(m->server_id), std::move(w.bytes));
  // Gone as a datagram: whether it came shows by the answer.
  in.later.push_back([req, cb] { cb(req, 0); });
  return 0;
}

void Group::Inner::HearRaft(Id from, Reader& r) {
  if (!started || standing != Standing::kMember || !recv_cb)
    return;
  raft_message m{};
  std::string address = AddressOf(from);
  m.type = static_cast<unsigned short>(r.number(1));
  m.server_id = RaftId(from);
  m.server_address = address.c_str();
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      auto& v = m.request_vote;
      v.term = r.number(8);
      v.candidate_id = r.number(8);
      v.last_log_index = r.number(8);
      v.last_log_term = r.number(8);
      std::uint64_t flags = r.number(1);
      v.disrupt_leader = flags & 1;
      v.pre_vote = flags & 2;
      if (!r.Whole() || v.candidate_id != m.server_id)
        return;
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      auto& v = m.request_vote_result;
      v.term = r.number(8);
      v.vote_granted = r.number(1) != 0;
      std::uint64_t pre = r.number(1);
      if (!r.Whole() || pre > raft_tribool_false)
        return;
      v.pre_vote = static_cast<raft_tribool>(pre);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      auto& a = m.append_entries;
      a.term = r.number(8);
      a.prev_log_index = r.number(8);
      a.prev_log_term = r.number(8);
      a.leader_commit = r.number(8);
      std::uint64_t n = r.number(2);
      std::vector<LogEntry> all;
      for (std::uint64_t i = 0; i < n && !r.Bad(); ++i) {
        LogEntry e;
        e.term = r.number(8);
        e.type = static_cast<unsigned short>(r.number(2));
        e.bytes = r.Text(kMostBytes);
        if (e.type < RAFT_COMMAND || e.type > RAFT_CHANGE)
          return;
        all.push_back(std::move(e));
      }
      if (!r.Whole())
        return;
      a.n_entries = static_cast<unsigned>(all.size());
      if (!all.empty())
        FillEntries(all, a.entries);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      auto& a = m.append_entries_result;
      a.term = r.number(8);
      a.rejected = r.number(8);
      a.last_log_index = r.number(8);
      if (!r.Whole())
        return;
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      auto& s = m.install_snapshot;
      s.term = r.number(8);
      s.last_index = r.number(8);
      s.last_term = r.number(8);
      s.conf_index = r.number(8);
      if (!Decoded(r, s.conf))
        return;
      std::string data = r.Text(kMostBytes);
      if (!r.Whole())
        return raft_configuration_close(&s.conf);
      s.data = {Copied(data), data.size()};
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      auto& t = m.timeout_now;
      t.term = r.number(8);
      t.last_log_index = r.number(8);
      t.last_log_term = r.number(8);
      if (!r.Whole())
        return;
      break;
    }
    default:
      return;
  }
  recv_cb(&io, &m);
}

}  // namespace dunlinwick::owner
