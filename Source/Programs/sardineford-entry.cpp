#include "Entry/Entry.h"

using namespace sardineford;

int main(int argc, char **argv) {
  return node::runDaemon(argc, argv,
                         "The data path of sardineford: serves callers.",
                         [](IoContext &io, const settings::Settings &s,
                            std::function<void()> run) {
                           node::Node node(io, s, false);
                           entry::Entry entry(node);
                           entry.start();
                           run();
                         });
}
