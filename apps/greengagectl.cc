#include "gg_ctl/ctl_app.h"

int main(int argc, char** argv) { return greengage::RunCtl(argc, argv); }
