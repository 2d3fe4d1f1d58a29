#include "Entry/Entry.h"

using namespace sardineford;

int main(int argc, char **argv) {
  return node::runDaemon(
      argc, argv,
      "The entry process of sardineford: routes the requests of callers.",
      [](IoContext &io, node::SettingsFile &settings,
         std::function<void()> run) {
        node::Node node(io, settings.values(), false);
        entry::Entry entry(node);
        entry.start();
        run();
      });
}
