package calicochute.errors;

/** Error codes. Runbooks refer to their numbers, so the number of a removed code must not be used again. */
public enum Code {
    SETTINGS(
            "C101",
            "Correct the entry that the message names, or restore the last file that worked; `check --config FILE` tests a file without serving."),
    CONFIGURATION_UNREADABLE(
            "C102",
            "Make sure that the file named by --config or PROXY_CONFIG exists and that the program's user may read it."),
    RELOAD(
            "C103",
            "The running configuration is unchanged: correct the file and send SIGHUP again, or restart the balancer if a class was removed on purpose."),
    SERVER_LIST(
            "C201",
            "The previous list stays in use: check discovery's answer to GET /v1/endpoints, and the source of its entries."),
    ADDRESS_TAKEN(
            "C301",
            "Another process listens on the address, or this machine does not have it: stop that process or change `listen` (or `admin_addr`)."),
    INHERITED_SOCKET(
            "C302",
            "Start the program with the listening socket as descriptor 0, or without the variable PROXY_INHERITED_FD."),
    WIRE(
            "C401",
            "The simulator's host sent a line that is not part of its protocol: compare the versions of the two programs."),
    OPERATOR_FILE(
            "C501",
            "Correct the line that the message names; `check` tests the file that PROXY_FLEET names without serving."),
    EXPERIMENT(
            "C502",
            "Change the experiment as the rule requires, under a new name if it has already run; the other experiments continue."),
    FLEET_ADDRESS(
            "C503",
            "Another process uses the UDP address, or this machine does not have it: change `listen` in the operator's file. The balancer continues to serve, without the fleet."),
    STATE_FOLDER(
            "C504",
            "Make sure that `state` names a folder that the program's user may write, and that the disk is not full. Until then, experiments run without saved state."),
    STATE_FOREIGN(
            "C505",
            "The file is damaged, of another version or of another balancer: it was not used and not changed. Remove it, or name another folder."),
    SCENARIO("C601", "Correct the field that the message names; docs/lab.md lists the fields and their bounds."),
    DEPLOYMENT(
            "C602",
            "Run the lab inside a checkout with deploy/balancer.toml, or name a command with --balancer-command."),
    RESULT_FOLDER(
            "C603", "Name a folder that `lab run` of this version wrote; if it is older, run the scenario again."),
    BALANCER_START(
            "C604", "Read the balancer's log in the run's folder; on a busy machine, run fewer balancers at a time.");

    private final String id;
    private final String remedy;

    Code(String id, String remedy) {
        this.id = id;
        this.remedy = remedy;
    }

    /** The number that runbooks and messages name, such as C101. */
    public String id() {
        return id;
    }

    /** What the operator can do. */
    public String remedy() {
        return remedy;
    }
}
