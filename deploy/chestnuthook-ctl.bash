# Bash completion for chestnuthook-ctl. Load it with `. deploy/chestnuthook-ctl.bash` or copy it to
# /usr/share/bash-completion/completions/chestnuthook-ctl. Commands and flags are read from --help, so
# they always match the installed binary.

_chestnuthook_ctl() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]} help verb='' sub='' word
    # The command and subcommand are the first two words before the cursor that are not flags.
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $word in -* | =) continue ;; esac
        if [ -z "$verb" ]; then verb=$word; elif [ -z "$sub" ]; then sub=$word; fi
    done
    help=$("${COMP_WORDS[0]}" --help 2>/dev/null) || return
    COMPREPLY=()
    case $current in
    -*)
        mapfile -t COMPREPLY < <(compgen -W "$(sed -n 's/^  \(--[a-z_]*\) .*/\1=/p' <<<"$help")" -- "$current")
        compopt -o nospace
        return
        ;;
    esac
    if [ "$previous" = --output ] || [ "$previous" = = ]; then return; fi
    if [ -z "$verb" ]; then
        mapfile -t COMPREPLY < <(compgen -W "$(sed -n 's/^  \([a-z][a-z]*\).*/\1/p' <<<"$help" | sort -u)" -- "$current")
        return
    fi
    case $verb in
    validate | diff | apply)
        compopt -o filenames
        mapfile -t COMPREPLY < <(compgen -f -X '!*.yaml' -- "$current"; compgen -d -- "$current")
        ;;
    *)
        [ -n "$sub" ] || mapfile -t COMPREPLY < <(compgen -W "$(sed -n "s/^  $verb \([a-z][a-z]*\).*/\1/p" <<<"$help")" -- "$current")
        ;;
    esac
}
complete -F _chestnuthook_ctl chestnuthook-ctl
