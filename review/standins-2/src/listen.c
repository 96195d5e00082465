/* Holds a listening socket on a loopback address as descriptor 0, names its port in REVIEW_PORT, and runs a command:
   the part of the platform that holds the clients' listening socket. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int count, char **arguments) {
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    char port[16];
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (count < 2 || fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0
        || bind(fd, (struct sockaddr *) &address, sizeof address) < 0 || listen(fd, 1024) < 0
        || getsockname(fd, (struct sockaddr *) &address, &length) < 0 || dup2(fd, 0) < 0) {
        perror("listen");
        return 2;
    }
    if (fd != 0) {
        close(fd);
    }
    snprintf(port, sizeof port, "%d", ntohs(address.sin_port));
    setenv("REVIEW_PORT", port, 1);
    execvp(arguments[1], arguments + 1);
    perror(arguments[1]);
    return 2;
}
