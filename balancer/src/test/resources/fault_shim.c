/*
 * Faults for the tests: a library that is loaded into a process before the C library and changes what its calls return.
 * The file named by FAULT_SHIM_FILE holds the faults as 64-bit numbers, so that a test can change them at any time.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum fault {
    CLOCK_OFFSET_SECONDS,
    ACCEPT_ERRNO,
    SOCKET_ERRNO,
    CONNECT_ERRNO,
    FAULTS
};

static volatile int64_t *faults;

__attribute__((constructor)) static void map_faults(void) {
    static int64_t none[FAULTS];
    const char *name = getenv("FAULT_SHIM_FILE");
    int fd = name == NULL ? -1 : open(name, O_RDWR);
    void *mapped = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof(none), PROT_READ, MAP_SHARED, fd, 0);
    faults = mapped == MAP_FAILED ? none : mapped;
    if (fd >= 0) {
        close(fd);
    }
}

static int fails(enum fault fault) {
    int64_t error = faults == NULL ? 0 : faults[fault];
    if (error != 0) {
        errno = (int) error;
    }
    return error != 0;
}

int clock_gettime(clockid_t clock, struct timespec *result) {
    static int (*next)(clockid_t, struct timespec *);
    if (next == NULL) {
        next = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int status = next(clock, result);
    if (status == 0 && clock == CLOCK_REALTIME && faults != NULL) {
        result->tv_sec += faults[CLOCK_OFFSET_SECONDS];
    }
    return status;
}

int gettimeofday(struct timeval *result, void *zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec;
    result->tv_usec = now.tv_nsec / 1000;
    return 0;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static int (*next)(int, struct sockaddr *, socklen_t *);
    if (next == NULL) {
        next = dlsym(RTLD_NEXT, "accept");
    }
    return fails(ACCEPT_ERRNO) ? -1 : next(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    static int (*next)(int, int, int);
    if (next == NULL) {
        next = dlsym(RTLD_NEXT, "socket");
    }
    return fails(SOCKET_ERRNO) ? -1 : next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (next == NULL) {
        next = dlsym(RTLD_NEXT, "connect");
    }
    return fails(CONNECT_ERRNO) ? -1 : next(fd, address, length);
}
