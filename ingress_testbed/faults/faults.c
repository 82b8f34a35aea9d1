/* Preloaded into one process of a test: makes selected system calls fail or transfer only one byte, and shifts
 * the process's wall clock. The faults are set in a small file, FAULTS_FILE, with the layout of `struct
 * control`. The test maps the file as well, so that it can change the faults while the process runs. The order
 * of the calls is that of `SystemCall` in faults/__init__.py. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, CONNECT, SOCKET, READ, WRITE, WAIT, BIND, LISTEN, RENAME, CALLS };

struct rule {
    int32_t error; /* errno; 0: the call transfers only one byte */
    int32_t every; /* each `every`-th call fails; 0: none */
    int64_t calls;
    int64_t failed;
};

struct control {
    int64_t wall_shift_ns;
    struct rule rules[CALLS];
};

static struct control *control;

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("FAULTS_FILE");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* Counts a call, and returns whether it has to fail. */
static int must_fail(enum call which) {
    if (!control)
        return 0;
    struct rule *rule = &control->rules[which];
    int every = rule->every;
    if (!every || ++rule->calls % every)
        return 0;
    rule->failed++;
    return 1;
}

static int is_socket(int file) {
    int type;
    socklen_t size = sizeof type;
    return getsockopt(file, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

#define FIND_REAL(type, name, ...)                         \
    static type (*real)(__VA_ARGS__);                      \
    if (!real)                                             \
        real = (type(*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

#define FAIL_IF_DUE(which)                                 \
    if (must_fail(which)) {                                \
        errno = control->rules[which].error;               \
        return -1;                                         \
    }

int accept4(int file, struct sockaddr *address, socklen_t *size, int flags) {
    FIND_REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
    FAIL_IF_DUE(ACCEPT);
    return real(file, address, size, flags);
}

int accept(int file, struct sockaddr *address, socklen_t *size) {
    FIND_REAL(int, "accept", int, struct sockaddr *, socklen_t *);
    FAIL_IF_DUE(ACCEPT);
    return real(file, address, size);
}

int connect(int file, const struct sockaddr *address, socklen_t size) {
    FIND_REAL(int, "connect", int, const struct sockaddr *, socklen_t);
    FAIL_IF_DUE(CONNECT);
    return real(file, address, size);
}

int socket(int domain, int type, int protocol) {
    FIND_REAL(int, "socket", int, int, int);
    FAIL_IF_DUE(SOCKET);
    return real(domain, type, protocol);
}

int bind(int file, const struct sockaddr *address, socklen_t size) {
    FIND_REAL(int, "bind", int, const struct sockaddr *, socklen_t);
    FAIL_IF_DUE(BIND);
    return real(file, address, size);
}

int listen(int file, int backlog) {
    FIND_REAL(int, "listen", int, int);
    FAIL_IF_DUE(LISTEN);
    return real(file, backlog);
}

int rename(const char *from, const char *to) {
    FIND_REAL(int, "rename", const char *, const char *);
    FAIL_IF_DUE(RENAME);
    return real(from, to);
}

/* Makes a read or write of a stream socket fail, or transfer one byte, which is never the end of the stream.
 * A shortened writev writes only its first buffer. */
#define SHORTEN_OR_FAIL_IF_DUE(which, file, shortened)     \
    if (is_socket(file) && must_fail(which)) {             \
        if (!control->rules[which].error)                  \
            return shortened;                              \
        errno = control->rules[which].error;               \
        return -1;                                         \
    }

ssize_t read(int file, void *data, size_t size) {
    FIND_REAL(ssize_t, "read", int, void *, size_t);
    SHORTEN_OR_FAIL_IF_DUE(READ, file, real(file, data, size ? 1 : 0));
    return real(file, data, size);
}

ssize_t recv(int file, void *data, size_t size, int flags) {
    FIND_REAL(ssize_t, "recv", int, void *, size_t, int);
    SHORTEN_OR_FAIL_IF_DUE(READ, file, real(file, data, size ? 1 : 0, flags));
    return real(file, data, size, flags);
}

ssize_t write(int file, const void *data, size_t size) {
    FIND_REAL(ssize_t, "write", int, const void *, size_t);
    SHORTEN_OR_FAIL_IF_DUE(WRITE, file, real(file, data, size ? 1 : 0));
    return real(file, data, size);
}

ssize_t writev(int file, const struct iovec *parts, int count) {
    FIND_REAL(ssize_t, "writev", int, const struct iovec *, int);
    SHORTEN_OR_FAIL_IF_DUE(WRITE, file, real(file, parts, count > 1 ? 1 : count));
    return real(file, parts, count);
}

ssize_t send(int file, const void *data, size_t size, int flags) {
    FIND_REAL(ssize_t, "send", int, const void *, size_t, int);
    SHORTEN_OR_FAIL_IF_DUE(WRITE, file, real(file, data, size ? 1 : 0, flags));
    return real(file, data, size, flags);
}

int epoll_wait(int file, struct epoll_event *events, int max_events, int timeout) {
    FIND_REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
    FAIL_IF_DUE(WAIT);
    return real(file, events, max_events, timeout);
}

int epoll_pwait(int file, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask) {
    FIND_REAL(int, "epoll_pwait", int, struct epoll_event *, int, int, const sigset_t *);
    FAIL_IF_DUE(WAIT);
    return real(file, events, max_events, timeout, mask);
}

static int64_t wall_shift_ns(void) { return control ? control->wall_shift_ns : 0; }

int clock_gettime(clockid_t clock, struct timespec *now) {
    FIND_REAL(int, "clock_gettime", clockid_t, struct timespec *);
    int result = real(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted = now->tv_sec * 1000000000LL + now->tv_nsec + wall_shift_ns();
        now->tv_sec = shifted / 1000000000LL;
        now->tv_nsec = shifted % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    (void)zone;
    struct timespec precise;
    int result = clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}
