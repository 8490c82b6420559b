#include "assigner/remote_write_settings.h"

#include <cstdint>
#include <string>

#include "assigner/settings_reading.h"
#include "base/file.h"
#include "net/tls.h"

namespace beamshunt::assigner {
namespace {

using config::Tree;

std::string base64(const std::string& text) {
  constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t k = 0; k < text.size(); k += 3) {
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      std::uint32_t byte = k + i < text.size() ? static_cast<unsigned char>(text[k + i]) : 0;
      bits = bits << 8 | byte;
    }
    for (std::size_t i = 0; i < 4; ++i)
      out += k + i <= text.size() ? kDigits[bits >> (18 - 6 * i) & 63] : '=';
  }
  return out;
}

// The value of the Authorization header. A line break inside it would end the header and start another.
std::string authorization_of(const Tree& credentials) {
  constexpr const char* kPath = "remote_write.credentials.file";
  const Tree& file = credentials.at("file");
  auto secret = base::read_file(file.text);
  if (!secret) reject_setting(file, kPath, "there is no file " + file.text);
  while (!secret->empty() && (secret->back() == '\n' || secret->back() == '\r')) secret->pop_back();
  if (secret->empty() || secret->find_first_of("\r\n") != std::string::npos)
    reject_setting(file, kPath, "it must hold one line and no more");
  return credentials.string("kind") == "bearer" ? "Bearer " + *secret : "Basic " + base64(*secret);
}

void read_url(const Tree& url, telemetry::RemoteWriterSettings& out) {
  std::size_t host = url.text.find("://") + 3;  // the schema has checked the form
  std::size_t path = url.text.find('/', host);
  out.host = url.text.substr(host, path - host);
  out.path = url.text.substr(path);
  auto receiver = net::parse_address(out.host);
  if (!receiver)
    reject_setting(url, "remote_write.url", "'" + out.host + "' is no address such as 127.0.0.1:9090");
  out.receiver = *receiver;
}

void read_external_labels(const Tree& labels, telemetry::RemoteWriterSettings& out) {
  for (const Tree& label : labels.items) {
    for (const auto& [name, value] : out.external_labels)
      if (name == label.string("name"))
        reject_setting(label, "remote_write.external", "a label is given twice");
    out.external_labels.emplace_back(label.string("name"), label.string("value"));
  }
}

void read_tls(const Tree& tree, telemetry::RemoteWriterSettings& out) {
  try {
    out.tls = net::TlsContext::client(tree.string("ca_file"));
  } catch (const net::TlsError& error) {
    reject_setting(tree.at("ca_file"), "remote_write.ca_file", error.what());
  }
}

}  // namespace

telemetry::RemoteWriterSettings read_remote_write_settings(const Tree& tree,
                                                           const AssignerSettings& assigner) {
  telemetry::RemoteWriterSettings out;
  const Tree& url = tree.at("url");
  read_url(url, out);
  out.local_address = {assigner.channel.ip, 0};
  out.scrape_interval = tree.real("interval");
  out.request_timeout = tree.real("timeout");
  out.external_labels.emplace_back("instance", std::to_string(assigner.instance));
  read_external_labels(tree.at("external"), out);
  if (url.text.starts_with("https")) read_tls(tree, out);
  if (const Tree* credentials = tree.find("credentials")) out.authorization = authorization_of(*credentials);
  out.sender.shards = static_cast<std::size_t>(tree.whole("shards"));
  out.sender.batch_samples = static_cast<std::size_t>(tree.at("batch").whole("samples"));
  out.sender.batch_wait = tree.at("batch").real("wait");
  out.sender.min_backoff = tree.at("backoff").real("least");
  out.sender.max_backoff = tree.at("backoff").real("most");
  out.sender.seed = assigner.policy.seed;
  const Tree& buffer = tree.at("buffer");
  out.buffer.bytes = static_cast<std::uint64_t>(buffer.real("bytes"));
  out.buffer.segment_bytes = static_cast<std::uint64_t>(buffer.real("segment"));
  out.buffer.age_ms = static_cast<std::int64_t>(buffer.real("age"));
  out.folder = assigner.state_folder + "/metrics";
  return out;
}

}  // namespace beamshunt::assigner
