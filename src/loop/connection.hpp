// A TCP connection: one receive buffer, and a queue of the messages that are still to be sent. The
// owner outlives it; all calls are made on the loop's thread.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "loop/buffer.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::loop {

// Every way in which a connection can end.
enum class DisconnectReason {
  kRefused,         // the peer refused the connection
  kConnectFailed,   // not established within the limit
  kLocalShortage,   // this host has no descriptor, port, buffer or route for it; this tells
                    // nothing about the peer
  kClosed,          // the peer closed it
  kReset,           // it was reset or failed
  kReceiveTimeout,  // nothing was received for too long
  kMalformed,       // a received message cannot be parsed
  kStalled,         // a message stopped arriving before its end
  kReplaced,        // another process is now listed at the peer's address
  kReleased         // closed by this side, with nothing outstanding on it
};
const char* ToString(DisconnectReason reason);

std::optional<Address> ReadAddress(std::string_view text);  // 127.0.0.1:5050

class Connection final : Handler {
 public:
  class Owner {
   public:
    virtual void OnBytesReceived() = 0;  // the buffer holds new bytes
    virtual void OnDrained() {}          // all messages are written
    virtual void OnDisconnected(
        DisconnectReason reason) = 0;  // once; never called from within a call that the owner makes

   protected:
    ~Owner() = default;
  };

  /// Returns a message's bytes just before the first of them is written, and is called again if the
  /// socket accepts none. Without a result the message is dropped unwritten, and the sender handles
  /// the consequences. It must not send or close on this connection.
  using Composer = std::function<std::optional<std::string>()>;

  Connection(Loop& loop, Owner& owner, Descriptor accepted);
  Connection(Loop& loop, Owner& owner, const Address& to, Ms timeout);  // connects
  ~Connection();

  Buffer in;
  // Returns the message's sequence number. With `more`, the message is held back until the next one
  // is sent, so that both are written together.
  std::uint64_t Send(std::string message, bool more = false);
  /// Sends what `compose` returns once everything before it is written, which may be within this
  /// call. Returns the message's sequence number.
  std::uint64_t SendComposed(Composer compose);
  bool IsUnsent(std::uint64_t sequence) const;  // not completely written
  // Drops a message of which nothing is written. False: some of it is, or the message is gone.
  bool CancelSend(std::uint64_t sequence);
  bool IsSendQueueEmpty() const {
    return send_queue_.empty();
  }
  // It has ended, or its end is about to be reported.
  bool IsEnded() const {
    return ended_ || disconnect_timer_ != 0;
  }
  // The peer has closed or reset it. This is set before OnBytesReceived() reports the bytes that
  // were read in the same iteration: they may be the last that a departed peer sent.
  bool HasPeerClosed() const {
    return peer_closed_;
  }
  /// The last read emptied the kernel's buffer: bytes that are read next arrived after it.
  bool HasReadAll() const {
    return has_read_all_;
  }
  void SetReadLimit(std::size_t limit);  // stops reading while the buffer holds this much
  /// Reads what has arrived, without a report, until the buffer holds `limit` bytes. False: nothing
  /// had arrived. The next poll reports a close or an error.
  bool ReceiveAvailable(std::size_t limit);
  /// Bytes of the messages that are still to be sent.
  std::size_t QueuedBytes() const;
  /// Removes `size` bytes, or all, from the buffer, and resumes reading if it had stopped at the
  /// read limit. For use outside OnBytesReceived(), after which reading resumes by itself.
  void ConsumeInput(std::size_t size);
  void DiscardInput();
  void SetRarelyPolled(bool rarely_polled);  // set while only its end is expected
  void Disconnect(DisconnectReason reason);  // reported in the next iteration of the loop
  void ShutdownWrite();                      // shuts down the sending side; reading continues
  void Close();                              // without a report

 private:
  struct Message {
    std::string bytes;
    std::uint64_t sequence = 0;
    Composer compose = nullptr;  // until the first byte is written; null if the bytes were known
                                 // when the message was queued
  };
  void OnReady(short events) override;
  void Finish(DisconnectReason reason);
  void ReadOnce();
  ssize_t ReceiveChunk();
  std::uint64_t Enqueue(Message message, bool more);
  bool ComposeFirst();
  void Flush();
  void ReadRemaining();
  void UpdateWatch();
  /// Stops polling briefly: the kernel is out of buffers for this connection, so polling would
  /// spin.
  void WaitForBuffers();

  Loop& loop_;
  Owner& owner_;
  Descriptor descriptor_;
  bool connected_ = false;
  bool ended_ = false;
  bool write_shut_ = false;
  bool rarely_polled_ = false;
  bool corked_ = false;
  bool peer_closed_ = false;
  bool write_failed_ = false;
  bool has_read_all_ = true;
  std::size_t read_limit_ = 1 << 16;
  std::deque<Message> send_queue_;   // emptied as the peer accepts it
  std::size_t head_bytes_sent_ = 0;  // bytes of the first message that are written
  std::uint64_t last_sequence_ = 0;
  std::uint64_t timer_ = 0;  // limits the connecting; later reads what remains after a failed write
  std::uint64_t disconnect_timer_ = 0;   // 0: no end to be reported
  std::uint64_t buffer_wait_timer_ = 0;  // 0: not waiting for buffers
};

}  // namespace dunlinwick::loop
