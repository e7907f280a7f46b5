# Bash completion for savoryport.
_savoryport() {
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
    case $previous in
        table) COMPREPLY=($(compgen -W "get check diff apply" -- "$word")) ;;
        quarantine) COMPREPLY=($(compgen -W "list clear" -- "$word")) ;;
        settings) COMPREPLY=($(compgen -W "check" -- "$word")) ;;
        get | check | diff | apply | --settings) COMPREPLY=($(compgen -f -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "table status explain settings drain quarantine --settings --key-value
            --vm-list --merge --first --no-fleet-check --undo --help --version" -- "$word")) ;;
    esac
}
complete -F _savoryport savoryport

# Bash completion for savoryport-node.
_savoryport_node() {
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
    case $previous in
        --settings) COMPREPLY=($(compgen -f -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "--settings --help --version" -- "$word")) ;;
    esac
}
complete -F _savoryport_node savoryport-node
