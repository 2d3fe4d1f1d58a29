#include "Controller/Controller.h"

using namespace sardineford;

int main(int argc, char **argv) {
  return node::runDaemon(argc, argv, "The control process of sardineford.",
                         [](IoContext &io, node::SettingsFile &settings,
                            std::function<void()> run) {
                           node::Node node(io, settings.values(), true);
                           controller::Controller controller(node);
                           controller.start();
                           run();
                         });
}
