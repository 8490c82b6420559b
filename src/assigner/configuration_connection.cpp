#include "assigner/configuration_connection.h"

#include <utility>

namespace beamshunt::assigner {

ConfigurationConnection::ConfigurationConnection(net::Reactor& reactor, net::Address from,
                                                 std::size_t max_unsent, Events events)
    : reactor_(reactor), from_(from), max_unsent_(max_unsent), events_(std::move(events)) {}

ConfigurationConnection::~ConfigurationConnection() {
  *alive_ = false;
  if (connection_) connection_->close();
}

void ConfigurationConnection::dial(net::Address service) {
  std::uint64_t generation = ++generation_;
  auto is_current = [this, alive = alive_, generation] { return *alive && generation == generation_; };
  connection_ = net::Connection::dial(reactor_, service, from_, {.max_unsent_bytes = max_unsent_});
  connection_->start({[this, is_current] {
                        if (is_current()) events_.connected();
                      },
                      [this, is_current](std::string_view bytes) {
                        if (is_current()) events_.received(bytes);
                      },
                      {},
                      [this, is_current](net::CloseReason reason) {
                        if (!is_current()) return;
                        connection_.reset();
                        events_.closed(net::close_reason_name(reason));
                      }});
}

void ConfigurationConnection::send(std::string bytes) {
  if (connection_) connection_->send(std::move(bytes));
}

void ConfigurationConnection::hang_up() {
  ++generation_;
  if (auto connection = std::exchange(connection_, nullptr)) connection->close_after_flush();
}

}  // namespace beamshunt::assigner
