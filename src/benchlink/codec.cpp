#include "benchlink/codec.hpp"

#include <cmath>

namespace dunlinwick::benchlink {

std::string_view Reader::ReadBytes(std::size_t n) {
  if (n > rest_.size())
    throw FrameError("truncated frame: a record extends past the frame's end");
  std::string_view bytes = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return bytes;
}

std::uint64_t Reader::ReadInteger(int bytes) {
  std::uint64_t v = 0;
  for (char c : ReadBytes(static_cast<std::size_t>(bytes)))
    v = v << 8 | static_cast<std::uint8_t>(c);
  return v;
}

void Writer::WriteInteger(std::uint64_t v, int n) {
  for (int shift = 8 * (n - 1); shift >= 0; shift -= 8)
    bytes.push_back(static_cast<char>(v >> shift & 0xff));
}

void Writer::WriteString(std::string_view s) {
  s = s.substr(0, 65535);
  U16(static_cast<unsigned>(s.size()));
  bytes.append(s);
}

Header ReadHeader(std::string_view bytes) {
  Reader in(bytes);
  Header h;
  h.clock = in.F64();
  h.length = in.U32();
  h.records = in.U32();
  h.batch = in.U32();
  if (!std::isfinite(h.clock))
    throw FrameError("batch header with an invalid clock");
  if (h.records > h.length / 2)
    throw FrameError("invalid count: more records than the frame can hold");
  return h;
}

static std::vector<float> ReadReport(Reader& in) {
  std::vector<float> values(in.U8());
  for (float& v : values)
    v = in.F32();
  return values;
}

static AttemptResult AttemptResultOf(unsigned result) {
  switch (result) {
    case 100:
      return AttemptResult::kFinished;
    case 101:
      return AttemptResult::kMiss;
    case 301:
      return AttemptResult::kError;
    case 302:
      return AttemptResult::kOverloaded;
    case 303:
      return AttemptResult::kTimedOut;
    case 304:
      return AttemptResult::kNotSent;
    case 305:
      return AttemptResult::kDisconnected;
    case 306:
      return AttemptResult::kCancelled;
    case 307:
      return AttemptResult::kStartDeadlinePassed;
  }
  throw FrameError("unknown attempt result " + std::to_string(result));
}

static EndpointListUpdate ReadEndpointList(Reader& in) {
  EndpointListUpdate update;
  unsigned scope = in.U8();
  if (scope > 3)
    throw FrameError("unknown scope of an endpoint list");
  update.kind = static_cast<ListUpdateKind>(scope);
  in.U32();
  std::uint32_t count = in.U32();
  if (count > in.Left() / 22)
    throw FrameError("invalid count: more list entries than the frame can hold");
  update.entries.resize(count);
  for (ListEntry& e : update.entries) {
    e.id = in.U32();
    e.zone = in.U16();
    e.kind = in.U8();
    e.cell = in.U16();
    unsigned mode = in.U8();
    if (mode > 2)
      throw FrameError("unknown mode of an endpoint list entry");
    e.state = static_cast<EndpointState>(mode);
    e.weight = in.F32();
    e.started_at = in.F64();
  }
  return update;
}

Event ReadEvent(unsigned code, Reader& in) {
  switch (code) {
    case 3:
      return TimerFired{in.U64()};
    case 4: {
      ProbeEnded e;
      e.endpoint = in.U32();
      e.duration = in.F64();
      e.succeeded = AttemptResultOf(in.U16()) == AttemptResult::kFinished;
      e.load_report = ReadReport(in);
      return e;
    }
    case 5: {
      ResponseStarted e;
      e.request = in.U32();
      e.endpoint = in.U32();
      e.attempt = in.U8();
      in.F64();
      return e;
    }
    case 6: {
      AttemptEnded e;
      e.request = in.U32();
      e.attempt = in.U8();
      e.endpoint = in.U32();
      e.result = AttemptResultOf(in.U16());
      e.duration = in.F64();
      e.final = in.U8() != 0;
      unsigned remark = in.U8();
      e.cache_status = remark <= 10 ? static_cast<CacheStatus>(remark) : CacheStatus::kNone;
      e.fill_wait = in.F64();
      e.load_report = ReadReport(in);
      return e;
    }
    case 7: {
      RequestArrived e;
      e.request = in.U32();
      e.request_class = in.U8();
      in.U32();
      e.object = in.U64();
      e.time_left = in.F64();
      e.size_kb = in.F32();
      e.group = static_cast<int>(in.F32());
      e.part = static_cast<int>(in.F32());
      in.U16();
      return e;
    }
    case 8: {
      Purged e;
      e.object = in.U64();
      e.is_group = e.object == 0;
      e.group = in.U16();
      e.age = in.F64();
      return e;
    }
    case 9:
      return ReadEndpointList(in);
    case 10:
      return ClientLeft{in.U32()};
    case 11: {
      PeerMessageReceived e;
      e.peer = in.U32();
      e.text = std::string(in.ReadBytes(in.U16()));
      return e;
    }
  }
  throw FrameError("unknown event code " + std::to_string(code));
}

namespace {
struct ActionWriter {
  Writer& out;
  void operator()(const SendAttempt& a) const {
    out.U16(67);
    out.U32(a.request);
    out.U8((a.coalesce ? 1u : 0u) | (a.only_if_cached ? 2u : 0u) | (a.revalidate ? 8u : 0u));
    out.U8(static_cast<unsigned>(a.retention_rank));
    out.F64(a.max_age);
    out.U32(a.source);
    out.U32(a.endpoint);
    out.F64(a.timeout);
  }
  void operator()(const CancelAttempt& a) const {
    out.U16(73);
    out.U32(a.request);
    out.U8(static_cast<unsigned>(a.attempt));
  }
  void operator()(const RejectRequest& a) const {
    out.U16(77);
    out.U32(a.request);
    out.F64(a.retry_after);
  }
  void operator()(const FailRequest& a) const {
    out.U16(71);
    out.U32(a.request);
  }
  void operator()(const SetTimer& a) const {
    out.U16(70);
    out.F64(a.fires_at);
    out.U64(a.handle);
  }
  void operator()(const ProbeEndpoint& a) const {
    out.U16(69);
    out.U32(a.endpoint);
  }
  void operator()(const WatchEndpointList&) const {
    out.U16(78);
    out.U8(1);
  }
  void operator()(const WriteLogLine& a) const {
    out.U16(76);
    out.WriteString(a.text);
  }
  void operator()(const ReportEndpointHealth&) const {
  }  // for other fronts of a fleet; the simulator's protocol has no such action
};
}  // namespace

void WriteAction(const Action& action, Writer& out) {
  std::visit(ActionWriter{out}, action);
}

void WriteFrontSelector(unsigned front, Writer& out) {
  out.U16(74);
  out.U16(front);
}

void WriteFrontError(std::string_view reason, Writer& out) {
  out.U16(68);
  out.WriteString(reason);
}

void WriteReplyHeader(std::uint32_t length, std::uint32_t batch, Writer& out) {
  out.U32(length);
  out.U32(batch);
}

}  // namespace dunlinwick::benchlink
