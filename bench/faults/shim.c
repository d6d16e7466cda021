/*
 * Fault-injection library, preloaded into a router process: steps its wall clock and lets its system calls fail.
 *
 * The faults are controlled by struct page, which is mapped from the file that WICKHINGE_SHIM names. The test process
 * writes to that file while the router runs; shim.py has the same layout. A failing call does nothing and returns an
 * error that its manual page lists for a temporary condition. Only BREAK first shuts the connection down, as a network
 * fault does. Only TCP sockets and regular files are affected, never pipes or the event loop's own descriptors.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call {
    ACCEPT, CLIENT_READ, CLIENT_PEEK, CLIENT_SEND, SERVER_READ, SERVER_PEEK, SERVER_SEND, SHORT_READ, SHORT_SEND,
    BREAK, SOCKET, CONNECT, REGISTER, WAIT, OPEN, FILE_WRITE, FILE_SYNC, FILE_RENAME, CALLS
};

struct page {
    int64_t wall_offset_ns; /* Added to the wall clock. */
    uint64_t state;         /* State of the random generator. */
    struct entry {
        uint32_t per_65536; /* Probability that a call fails, in 65536ths. */
        uint32_t next;      /* Number of next calls that fail whatever the probability. */
        int32_t error;      /* The errno of a failure; 0 for a random one of ERRORS. */
        uint32_t failed;
        uint64_t calls;
    } calls[CALLS];
};

static const int ERRORS[CALLS][16] = {
    [ACCEPT] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH,
                EPERM, EHOSTDOWN, ENONET, ENOPROTOOPT, EOPNOTSUPP},
    [CLIENT_READ] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [CLIENT_PEEK] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [CLIENT_SEND] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [SERVER_READ] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [SERVER_PEEK] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [SERVER_SEND] = {EAGAIN, EINTR, ENOMEM, ENOBUFS},
    [BREAK] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, ENETUNREACH},
    [SOCKET] = {ENFILE, EMFILE, ENOBUFS, ENOMEM},
    [CONNECT] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS, ENOMEM, EINTR, EPERM, EHOSTUNREACH},
    [REGISTER] = {ENOMEM, ENOSPC},
    [WAIT] = {EINTR},
    [OPEN] = {EMFILE, ENFILE, EIO, ENOMEM},
    [FILE_WRITE] = {ENOSPC, EIO, EDQUOT},
    [FILE_SYNC] = {EIO, ENOSPC, EDQUOT},
    [FILE_RENAME] = {EIO, ENOSPC, ENOMEM},
};

enum role { OTHER, CLIENT, SERVER };
#define MOST_DESCRIPTORS 65536
static unsigned char roles[MOST_DESCRIPTORS];
static struct page *page;

static void attach(void) __attribute__((constructor));

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static void attach(void) {
    REAL(open);
    const char *path = getenv("WICKHINGE_SHIM");
    int descriptor = path ? real(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0) return;
    void *mapped = mmap(NULL, sizeof(struct page), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    if (mapped != MAP_FAILED) page = mapped;
    close(descriptor);
}

static uint32_t draw(void) {
    page->state = page->state * 6364136223846793005u + 1442695040888963407u;
    return page->state >> 33;
}

/* Returns whether this call has to fail, and sets errno if so. */
static int fails(enum call call) {
    if (!page) return 0;
    struct entry *entry = &page->calls[call];
    entry->calls++;
    if (entry->next) entry->next--;
    else if (!entry->per_65536 || (draw() & 65535) >= entry->per_65536) return 0;
    entry->failed++;
    int count = 0;
    while (count < 16 && ERRORS[call][count]) count++;
    if (entry->error) errno = entry->error;
    else if (count) errno = ERRORS[call][draw() % count];
    return 1;
}

static enum role role(int descriptor) {
    return descriptor >= 0 && descriptor < MOST_DESCRIPTORS ? roles[descriptor] : OTHER;
}

static void remember(int descriptor, enum role role) {
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS) roles[descriptor] = role;
}

static int regular(int descriptor) {
    struct stat told;
    return page && role(descriptor) == OTHER && fstat(descriptor, &told) == 0 && S_ISREG(told.st_mode);
}

/* Intercepted calls that read the wall clock. */

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && page && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t stepped = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + page->wall_offset_ns;
        now->tv_sec = stepped / 1000000000;
        now->tv_nsec = stepped % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    (void)zone;
    struct timespec told;
    if (clock_gettime(CLOCK_REALTIME, &told) != 0) return -1;
    now->tv_sec = told.tv_sec;
    now->tv_usec = told.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *now) {
    struct timespec told;
    clock_gettime(CLOCK_REALTIME, &told);
    if (now) *now = told.tv_sec;
    return told.tv_sec;
}

/* Intercepted calls on TCP sockets and the event loop. */

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && (type & 0xF) == SOCK_STREAM && fails(SOCKET)) return -1;
    int made = real(domain, type, protocol);
    remember(made, OTHER);
    return made;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    if (fails(ACCEPT)) return -1;
    int made = real(descriptor, address, size, flags);
    remember(made, CLIENT);
    return made;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (address->sa_family == AF_INET) {
        if (fails(CONNECT)) return -1;
        remember(descriptor, SERVER);
    }
    return real(descriptor, address, size);
}

static int read_fails(int descriptor, int flags) {
    enum role whose = role(descriptor);
    if (whose == OTHER) return 0;
    if (flags & MSG_PEEK) return fails(whose == CLIENT ? CLIENT_PEEK : SERVER_PEEK);
    if (whose == SERVER && fails(BREAK)) {
        int kept = errno;
        shutdown(descriptor, SHUT_RDWR);
        errno = kept;
        return 1;
    }
    return fails(whose == CLIENT ? CLIENT_READ : SERVER_READ);
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    REAL(recv);
    if (read_fails(descriptor, flags)) return -1;
    if (size > 1 && role(descriptor) != OTHER && !(flags & MSG_PEEK) && fails(SHORT_READ)) size = 1 + draw() % 7;
    return real(descriptor, data, size, flags);
}

static int send_fails(int descriptor) {
    enum role whose = role(descriptor);
    return whose != OTHER && fails(whose == CLIENT ? CLIENT_SEND : SERVER_SEND);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    REAL(send);
    if (send_fails(descriptor)) return -1;
    if (size > 1 && role(descriptor) != OTHER && fails(SHORT_SEND)) size = 1 + draw() % (size - 1);
    return real(descriptor, data, size, flags);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (send_fails(descriptor)) return -1;
    if (message->msg_iovlen && role(descriptor) != OTHER && fails(SHORT_SEND)) {
        struct msghdr cut = *message;
        cut.msg_iovlen = 1 + draw() % message->msg_iovlen;
        return real(descriptor, &cut, flags);
    }
    return real(descriptor, message, flags);
}

int epoll_ctl(int poller, int operation, int descriptor, struct epoll_event *event) {
    REAL(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && role(descriptor) != OTHER && fails(REGISTER)) return -1;
    return real(poller, operation, descriptor, event);
}

int epoll_wait(int poller, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (fails(WAIT)) return -1;
    return real(poller, events, most, timeout);
}

/* Intercepted calls on regular files. */

static int opens(const char *path, int flags, mode_t mode, int (*real)(const char *, int, ...)) {
    /* Only files below the test's folder may fail to open, so that Python can read its modules. */
    const char *folder = getenv("WICKHINGE_SHIM_FILES");
    size_t length = 0;
    while (folder && folder[length] && folder[length] == path[length]) length++;
    if (folder && !folder[length] && fails(OPEN)) return -1;
    int made = real(path, flags, mode);
    remember(made, OTHER);
    return made;
}

#define OPENING(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list more; \
        va_start(more, flags); \
        mode_t mode = va_arg(more, mode_t); \
        va_end(more); \
        return opens(path, flags, mode, real); \
    }

OPENING(open)
OPENING(open64)

ssize_t write(int descriptor, const void *data, size_t size) {
    REAL(write);
    if (regular(descriptor) && fails(FILE_WRITE)) {
        /* A disk that is nearly full writes a part of the data before it fails. */
        if (size > 1 && draw() % 2) return real(descriptor, data, 1 + draw() % (size - 1));
        return -1;
    }
    return real(descriptor, data, size);
}

ssize_t pwrite64(int descriptor, const void *data, size_t size, off_t place) {
    REAL(pwrite64);
    if (regular(descriptor) && fails(FILE_WRITE)) return -1;
    return real(descriptor, data, size, place);
}

ssize_t writev(int descriptor, const struct iovec *items, int count) {
    REAL(writev);
    if (regular(descriptor) && fails(FILE_WRITE)) return -1;
    return real(descriptor, items, count);
}

int fsync(int descriptor) {
    REAL(fsync);
    if (page && fails(FILE_SYNC)) return -1;
    return real(descriptor);
}

int fdatasync(int descriptor) {
    REAL(fdatasync);
    if (page && fails(FILE_SYNC)) return -1;
    return real(descriptor);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (fails(FILE_RENAME)) return -1;
    return real(from, to);
}
