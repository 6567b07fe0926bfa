// A TCP connection: one buffer for what comes in, and the messages that are still to go out.
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
  kRefused,       // the other side said no
  kNeverUp,       // not up within the limit
  kNoDescriptor,  // this machine has no descriptor, port, buffer or route for it: nothing is known
                  // of the other side
  kClosed,        // the other side closed it
  kReset,         // it broke
  kSilent,        // nothing came for too long
  kMalformed,     // what came can't be read
  kStalled,       // what came stopped short
  kReplaced,      // another process is listed in the other side's place
  kLetGo          // closed from here, with nothing open on it
};
const char* ToString(DisconnectReason how);

std::optional<Address> ReadAddress(std::string_view text);  // 127.0.0.1:5050

class Connection final : Handler {
 public:
  class Owner {
   public:
    virtual void Came() = 0;   // there are bytes in the buffer
    virtual void Drained() {}  // all messages are out
    virtual void Ended(
        DisconnectReason how) = 0;  // once; never called out of a call of the owner's

   protected:
    ~Owner() = default;
  };

  /// Gives a message's bytes in the moment before the first of them is written, and is asked again
  /// where the socket took none. Nothing: the message is dropped unwritten, and the sender sees to
  /// what hung on it. Must not send or close from within.
  using Composer = std::function<std::optional<std::string>()>;

  Connection(Loop& loop, Owner& owner, Descriptor accepted);
  Connection(Loop& loop, Owner& owner, const Address& to, Ms within);  // opens one
  ~Connection();

  Buffer in;
  // Returns its mark. `more`: another follows at once, and both go out together.
  std::uint64_t Send(std::string message, bool more = false);
  /// Sends what `compose` gives once everything before it is written, which may be within this
  /// call. Returns its mark.
  std::uint64_t SendComposed(Composer compose);
  bool Unsent(std::uint64_t mark) const;  // not written whole
  bool TakeBack(std::uint64_t mark);      // drops a message of which nothing was written
  bool DrainedOut() const {
    return out_.empty();
  }
  bool IsOver() const {
    return over_ || report_ != 0;
  }  // or about to be reported so
  // The other side has closed or broken it. Known before came() hands on the bytes that were read
  // in the same moment: they may be the last words of somebody who has left.
  bool PeerDone() const {
    return peer_done_;
  }
  /// The last read took all that the system held: what is read next came after it.
  bool HasReadAll() const {
    return has_read_all_;
  }
  void ReadUpTo(std::size_t most);   // reads no more while the buffer holds that much
  void BePatient(bool patient);      // nothing but its end is waited for
  void EndAs(DisconnectReason how);  // reports it to the owner in the next turn
  void SayNoMore();                  // shuts the way out; reading goes on
  void Close();                      // without a report

 private:
  struct Message {
    std::string bytes;
    std::uint64_t mark = 0;
    Composer compose = nullptr;  // until the first byte is written; none where the bytes were known
                                 // when it was sent
  };
  void Ready(short events) override;
  void Finish(DisconnectReason how);
  void Fetch();
  std::uint64_t Enqueue(Message message, bool more);
  bool ComposeFirst();
  void Flush();
  void LastWords();
  void Rewatch();
  /// Watches nothing for a moment: this machine is out of buffers for this connection, so that
  /// polling on would spin.
  void WaitForBuffers();

  Loop& loop_;
  Owner& owner_;
  Descriptor fd_;
  bool up_ = false;
  bool over_ = false;
  bool shut_ = false;
  bool patient_ = false;
  bool held_ = false;
  bool peer_done_ = false;
  bool broken_ = false;
  bool has_read_all_ = true;
  std::size_t most_ = 1 << 16;
  std::deque<Message> out_;   // emptied as the other side takes it
  std::size_t out_done_ = 0;  // bytes of the first message that are written
  std::uint64_t marks_ = 0;
  std::uint64_t limit_ = 0;
  std::uint64_t report_ = 0;             // timers
  std::uint64_t buffer_wait_timer_ = 0;  // 0: not waiting for buffers
};

}  // namespace dunlinwick::loop
