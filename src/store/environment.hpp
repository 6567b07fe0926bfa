/// One LMDB environment with its one table in a folder: opened with what a full or failing disk
/// asks for, closed with its owner. One process at a time, one environment a folder.
#pragma once
#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace dunlinwick::store {

/// Where opening ended: `code` is 0, an errno or a fault of LMDB.
struct OpenResult {
  const char* step = "";
  int code = 0;
};

/// The readable text of an errno or a fault of LMDB.
inline std::string ErrorText(int code) {
  return code > 0 ? std::strerror(code) : mdb_strerror(code);
}

class LmdbEnvironment {
 public:
  LmdbEnvironment() = default;
  ~LmdbEnvironment() {
    if (env_ != nullptr)
      mdb_env_close(env_);
  }
  LmdbEnvironment(const LmdbEnvironment&) = delete;
  LmdbEnvironment& operator=(const LmdbEnvironment&) = delete;

  /// Makes the folder where it is not there. Called once; after a fault the object is of no further
  /// use.
  OpenResult Open(const std::string& folder, std::size_t map_bytes) {
    bool is_new = ::mkdir(folder.c_str(), 0700) == 0;
    if (!is_new && errno != EEXIST)
      return {"can't be made", errno};
    if (int code = DiscardUnfinished(folder + "/data.mdb"); code != 0)
      return {"can't be looked at", code};
    if (int code = ReserveLockFile(folder + "/lock.mdb"); code != 0)
      return {"has no room for its lock", code};
    if (int code = mdb_env_create(&env_); code != 0)
      return {"no environment", code};
    if (int code = mdb_env_set_mapsize(env_, map_bytes); code != 0)
      return {"can't be set up", code};
    if (int code = mdb_env_open(env_, folder.c_str(), 0, 0600); code != 0)
      return {"can't be opened", code};
    // LMDB syncs its file, not the names that lead to it.
    if (int code = SyncFolder(folder); code != 0)
      return {"can't be kept", code};
    if (is_new) {
      if (int code = SyncFolder(folder + "/.."); code != 0)
        return {"can't be kept", code};
    }
    MDB_txn* txn = nullptr;
    if (int code = mdb_txn_begin(env_, nullptr, 0, &txn); code != 0)
      return {"no transaction", code};
    if (int code = mdb_dbi_open(txn, nullptr, 0, &table_); code != 0) {
      mdb_txn_abort(txn);
      return {"can't be opened", code};
    }
    return {"can't be kept", mdb_txn_commit(txn)};
  }
  MDB_env* handle() const {
    return env_;
  }
  MDB_dbi table() const {
    return table_;
  }

 private:
  /// A file shorter than LMDB's two head pages was never begun whole (a full disk, a kill): no
  /// transaction can be in it, and LMDB would refuse it for ever.
  static int DiscardUnfinished(const std::string& path) {
    struct stat file {};
    if (::stat(path.c_str(), &file) != 0)
      return errno == ENOENT ? 0 : errno;
    if (file.st_size == 0 || file.st_size >= 2 * ::sysconf(_SC_PAGESIZE))
      return 0;
    return ::truncate(path.c_str(), 0) == 0 ? 0 : errno;
  }
  /// LMDB maps its lock file; on a full disk the first touch of a page that has no block would end
  /// the process (SIGBUS).
  static int ReserveLockFile(const std::string& path) {
    constexpr off_t kLockBytes = 8192;
    int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0)
      return errno;
    int code = ::posix_fallocate(descriptor, 0, kLockBytes);
    ::close(descriptor);
    return code;
  }
  static int SyncFolder(const std::string& path) {
    int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
      return errno == EACCES ? 0 : errno;  // one that may be passed through, not read
    int code = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    return code;
  }

  MDB_env* env_ = nullptr;
  MDB_dbi table_ = 0;
};

}  // namespace dunlinwick::store
