/// An LMDB environment with a single table in a folder. Opening handles full and failing disks; the
/// destructor closes it. One process at a time, one environment per folder.
#pragma once
#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace dunlinwick::store {

/// The last step of opening: `code` is 0, an errno or an LMDB error code.
struct OpenResult {
  const char* step = "";
  int code = 0;
};

/// The text of an errno or an LMDB error code.
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

  /// Creates the folder if it does not exist. Called once; after an error the object must not be
  /// used.
  OpenResult Open(const std::string& folder, std::size_t map_bytes) {
    bool is_new = ::mkdir(folder.c_str(), 0700) == 0;
    if (!is_new && errno != EEXIST)
      return {"cannot be created", errno};
    if (int code = DiscardUnfinished(folder + "/data.mdb"); code != 0)
      return {"cannot be inspected", code};
    if (int code = ReserveLockFile(folder + "/lock.mdb"); code != 0)
      return {"no space for the lock file", code};
    if (int code = mdb_env_create(&env_); code != 0)
      return {"cannot create an LMDB environment", code};
    if (int code = mdb_env_set_mapsize(env_, map_bytes); code != 0)
      return {"cannot set the map size", code};
    if (int code = mdb_env_open(env_, folder.c_str(), 0, 0600); code != 0)
      return {"cannot be opened", code};
    // LMDB syncs its file, but not the directory entries that lead to it.
    if (int code = SyncFolder(folder); code != 0)
      return {"cannot be synced", code};
    if (is_new) {
      if (int code = SyncFolder(folder + "/.."); code != 0)
        return {"cannot be synced", code};
    }
    MDB_txn* txn = nullptr;
    if (int code = mdb_txn_begin(env_, nullptr, 0, &txn); code != 0)
      return {"cannot begin a transaction", code};
    if (int code = mdb_dbi_open(txn, nullptr, 0, &table_); code != 0) {
      mdb_txn_abort(txn);
      return {"cannot be opened", code};
    }
    return {"cannot be committed", mdb_txn_commit(txn)};
  }
  MDB_env* handle() const {
    return env_;
  }
  MDB_dbi table() const {
    return table_;
  }

 private:
  /// A file shorter than LMDB's two meta pages was never completely created (a full disk, a kill).
  /// It cannot contain a transaction, and LMDB would reject it for ever.
  static int DiscardUnfinished(const std::string& path) {
    struct stat file {};
    if (::stat(path.c_str(), &file) != 0)
      return errno == ENOENT ? 0 : errno;
    if (file.st_size == 0 || file.st_size >= 2 * ::sysconf(_SC_PAGESIZE))
      return 0;
    return ::truncate(path.c_str(), 0) == 0 ? 0 : errno;
  }
  /// LMDB maps its lock file. On a full disk the first access to a page without an allocated block
  /// would kill the process (SIGBUS).
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
      return errno == EACCES ? 0 : errno;  // a folder that may be traversed but not read
    int code = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    return code;
  }

  MDB_env* env_ = nullptr;
  MDB_dbi table_ = 0;
};

}  // namespace dunlinwick::store
