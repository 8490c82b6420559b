// beamshunt_adapter: runs controllers that the simulator drives over standard input and output.
#include <exception>
#include <iostream>

#include "simulator_adapter/session.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  beamshunt::simulator_adapter::Session session(std::cin, std::cout);
  try {
    session.run();
  } catch (const std::exception& error) {
    std::cerr << "beamshunt_adapter: line " << session.line_number() << ": " << error.what() << std::endl;
    return 1;
  }
  return 0;
}
