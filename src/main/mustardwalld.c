#include "daemon/daemon.h"

int main(int argc, char **argv)
{
	return daemon_main(argc, argv, NULL);
}
