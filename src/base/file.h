// Files that hold state: read whole, replaced whole, and records that show damage. It never appends; who
// keeps a log does that with sealed records of its own.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beamshunt::base {

// A call on a file that the operating system refused. what() reads "cannot <operation> <path>: <cause>".
class FileError : public std::runtime_error {
 public:
  // `failed`: the operation, as in "open" or "rename over"; `errno_value`: the errno that it left.
  FileError(const std::string& failed, const std::string& file, int errno_value);
  std::string operation;
  std::string path;
  int error_number;
};

// The whole file; nothing if there is none. Throws FileError for any other failure.
std::optional<std::string> read_file(const std::string& path);

// Replaces `path` by `bytes`, durably: after it returns the new content is on disk, before that the old
// content is. A kill at any instant leaves one of the two, whole: the new file is written beside the old one
// as `path`.new, synced, renamed over it, and then the folder is synced. Throws FileError; the old content
// stays.
void replace_file(const std::string& path, std::string_view bytes);

// Bytes before the payload of a sealed record: its length (4) and its XXH3 checksum (8).
constexpr std::size_t kRecordHeaderBytes = 12;

// A record with its length and checksum before it, as state files and logs keep it.
std::string encode_record(std::string_view payload);

// The payload of the sealed record at `offset` of `bytes`; `offset` moves behind the record. Nothing if the
// rest is torn or damaged or if there is no rest; `offset` stays. The payload points into `bytes`.
std::optional<std::string_view> read_record(std::string_view bytes, std::size_t& offset);

// The offset of the first whole, non-empty record that begins after `offset`, where read_record() has failed.
// Nothing if there is none: then the rest is the torn tail that a kill leaves in a log. If there is one, the
// file is damaged in its middle, and reading on or cutting there would lose records in silence.
std::optional<std::size_t> find_record_after(std::string_view bytes, std::size_t offset);

}  // namespace beamshunt::base
